/** What every listening server of a process does alike. */

import type {Server} from 'node:http';

/** Listens on an IP number; resolves with the port in use. */
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

/** Closes at once, cutting what is open. */
export function closeNow(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
