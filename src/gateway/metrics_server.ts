/** Serves the Prometheus metrics of an entry host. */

import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {ErrorReporter} from '../lifecycle/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import type {SocketAddress} from '../platform/index.js';
import {
  closeNow,
  containedListener,
  listen,
  readBeforeIdleTimeout,
} from '../servers/index.js';

const METRICS_PATH = '/metrics';
const NOT_FOUND = 404;

export class MetricsServer {
  private readonly server: Server;

  constructor(text: () => Promise<string>, reportError: ErrorReporter) {
    const report = (error: unknown): void =>
      reportError(error, {unit: 'metrics server'});
    const boundary = new ErrorBoundary(report);
    const listener = containedListener(
      report,
      ({request, response, boundary}) => {
        if (request.url !== METRICS_PATH) {
          response.statusCode = NOT_FOUND;
          response.end();
          return;
        }
        text().then(
          boundary.wrap(metrics => response.end(metrics)),
          boundary.wrap(() => response.destroy()),
        );
      },
    );
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
