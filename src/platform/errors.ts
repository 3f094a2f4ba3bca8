/** What can be wrong with what the platform hands over. */

/** A field of the settings file is missing or can't be read. */
export class SettingsFileError extends Error {
  constructor(
    readonly field: string,
    remedy: string,
  ) {
    super(`settings field ${field}: ${remedy}`);
  }
}

/** A record of the store can't be read; the last good one stays in force. */
export class RecordError extends Error {
  constructor(
    readonly field: string,
    remedy: string,
  ) {
    super(`record field ${field}: ${remedy}`);
  }
}
