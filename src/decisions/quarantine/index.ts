export * from './constants.js';
export type {
  CrashMessage,
  CrashNews,
  CrashSpreadParts,
} from './crash_spread.js';
export {CrashSpread} from './crash_spread.js';
export {Quarantine} from './quarantine.js';
export * from './types.js';
