/** Starts and stops HTTP servers. */

import type {Server} from 'node:http';

/** Listens on an IP address and resolves with the actual port. */
export function listen(
  server: Server,
  host: string,
  port: number,
  backlog?: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, backlog, () => {
      const address = server.address();
      resolve(typeof address === 'object' ? (address?.port ?? 0) : 0);
    });
  });
}

/** Stops listening and closes all open connections immediately. */
export function closeNow(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
