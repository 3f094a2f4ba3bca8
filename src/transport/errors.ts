/** The client library was about to write the same request twice. */
export class DuplicateSendError extends Error {
  constructor() {
    super('the connection was lost while sending; ask before resending');
  }
}

/** The answer has neither a length nor chunks. */
export class UnframedResponseError extends Error {
  constructor() {
    super(
      'the upstream sent an answer without Content-Length or chunked coding; make it send either',
    );
  }
}
