export type {ChangeHeader} from './draft.js';
export {Draft} from './draft.js';
export type {CommandError} from './errors.js';
export {exportDeclaration} from './export.js';
export {
  COMMANDS,
  interpretCommands,
  interpretDeclaration,
  revert,
} from './interpret.js';
