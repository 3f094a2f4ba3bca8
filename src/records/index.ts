export {RecordError} from './errors.js';
export type {Fields} from './fields.js';
export {
  decode,
  fields,
  isObject,
  list,
  nonNegativeNumber,
  objectList,
  text,
  wholeNumber,
} from './fields.js';
