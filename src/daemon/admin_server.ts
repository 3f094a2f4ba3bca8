/** HTTP server for Prometheus metrics and liveness and readiness probes. */

import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {Metrics} from '../metrics/index.js';
import {closeNow, listen} from '../servers/index.js';

export class AdminServer {
  private readonly server: Server;

  constructor(
    metrics: Metrics,
    /** Whether the platform's balancer should send callers to this host. */
    isReady: () => boolean,
    /** Updates the gauges before they are rendered. */
    refresh: () => void,
  ) {
    this.server = createServer((request, response) => {
      switch (request.url) {
        case '/metrics':
          refresh();
          void metrics.registry.metrics().then(text => {
            response.setHeader('content-type', metrics.registry.contentType);
            response.end(text);
          });
          return;
        case '/livez':
          response.end('ok\n');
          return;
        case '/readyz':
          response.statusCode = isReady() ? 200 : 503;
          response.end(isReady() ? 'ready\n' : 'not ready\n');
          return;
        default:
          response.statusCode = 404;
          response.end();
      }
    });
  }

  listen(host: string, port: number): Promise<number> {
    return listen(this.server, host, port);
  }

  close(): Promise<void> {
    return closeNow(this.server);
  }
}
