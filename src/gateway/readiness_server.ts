/** Tells the platform whether to route callers to this host. */

import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {ErrorReporter} from '../lifecycle/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import type {SocketAddress} from '../platform/index.js';
import {READINESS_PATH} from '../platform/index.js';
import {
  closeNow,
  containedListener,
  listen,
  readBeforeIdleTimeout,
} from '../servers/index.js';

const READY = 200;
const NOT_READY = 503;
const NOT_FOUND = 404;

export class ReadinessServer {
  private readonly server: Server;

  constructor(isReady: () => boolean, reportError: ErrorReporter) {
    const report = (error: unknown): void =>
      reportError(error, {unit: 'readiness server'});
    const boundary = new ErrorBoundary(report);
    const listener = containedListener(report, ({request, response}) => {
      if (request.url !== READINESS_PATH) {
        response.statusCode = NOT_FOUND;
        response.end();
        return;
      }
      response.statusCode = isReady() ? READY : NOT_READY;
      response.end();
    });
    this.server = createServer(listener);
    readBeforeIdleTimeout(this.server, boundary);
  }

  listen(address: SocketAddress): Promise<number> {
    return listen(this.server, address.ip, address.port);
  }

  close(): Promise<void> {
    return closeNow(this.server);
  }
}
