export class BodyTooLargeError extends Error {
  constructor(maxBytes: number) {
    super(`send at most ${maxBytes} bytes`);
  }
}

/** The caller disconnected before its body was complete. */
export class BodyTruncatedError extends Error {
  constructor() {
    super('the caller disconnected while sending its body');
  }
}
