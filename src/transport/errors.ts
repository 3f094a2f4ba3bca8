/** The HTTP client was about to write the same request a second time. */
export class DuplicateSendError extends Error {
  constructor() {
    super(
      'connection lost while sending; the request may have run, check before resending',
    );
  }
}

/** The response has neither Content-Length nor Transfer-Encoding. */
export class UnframedResponseError extends Error {
  constructor() {
    super(
      'the upstream sent a response without Content-Length or chunked encoding; configure it to send one of them',
    );
  }
}
