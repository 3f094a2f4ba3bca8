export type {Settings, SettingsError} from './settings.js';
export {readSettings, variableOf} from './settings.js';
export type {Setting} from './table.js';
export {SETTINGS} from './table.js';
