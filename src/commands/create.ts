import {buildObject} from './attributes.js';
import type {Command} from './types.js';
import {describeTarget, targetKey} from './types.js';

export const create: Command = {
  name: 'create',
  precondition: (draft, {target}) =>
    draft.has(targetKey(target))
      ? {
          kind: 'exists',
          message: `${describeTarget(target)} exists: use change instead.`,
        }
      : undefined,
  perform: (draft, statement) =>
    buildObject(statement, undefined).map(object => draft.put(object)),
};
