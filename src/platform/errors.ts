/** Errors in the settings file and in records of the store. */

/** A field of the settings file is missing or invalid. */
export class SettingsFileError extends Error {
  constructor(
    readonly field: string,
    remedy: string,
  ) {
    super(`settings field ${field}: ${remedy}`);
  }
}

/** A record of the store is invalid; the last valid one stays in force. */
export class RecordError extends Error {
  constructor(
    readonly field: string,
    remedy: string,
  ) {
    super(`record field ${field}: ${remedy}`);
  }
}
