/** Errors in records. */

/** A record of the store is invalid; the last valid one stays in force. */
export class RecordError extends Error {
  constructor(
    readonly field: string,
    remedy: string,
  ) {
    super(`record field ${field}: ${remedy}`);
  }
}
