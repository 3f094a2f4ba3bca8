/** Errors in the settings file. */

/** A field of the settings file is missing or invalid. */
export class SettingsFileError extends Error {
  constructor(
    readonly field: string,
    remedy: string,
  ) {
    super(`settings field ${field}: ${remedy}`);
  }
}
