/** Entry of every bench thread but the main one. */

import {parentPort, workerData} from 'node:worker_threads';
import {runLoad} from './load.js';
import {startDaemon, startForwarder, startUpstream} from './servers.js';
import type {LoadSpec, Role} from './types.js';

async function serve(role: Role): Promise<void> {
  switch (role.role) {
    case 'upstream':
      parentPort?.postMessage({port: await startUpstream()});
      return;
    case 'forwarder':
      parentPort?.postMessage({port: await startForwarder(role.upstreams)});
      return;
    case 'daemon':
      parentPort?.postMessage({port: await startDaemon(role.upstreams)});
      return;
    case 'load':
      parentPort?.on('message', (order: LoadSpec) => {
        void runLoad(order).then(report => parentPort?.postMessage(report));
      });
      return;
    default:
      role satisfies never;
  }
}

await serve(workerData as Role);
