/** Starts a host that reaches its upstreams only through tunnels of another host. */

import type {GatewaySystem, ProxiedUpstream, RunningHost} from './gateway.js';
import {until} from './gateway.js';

export const CUT_OFF_IP = '127.0.9.1';
const HELPING_IP = '127.0.9.2';

/**
 * @param upstreams all upstreams of the system
 * @param paths a path for each service, by which the host finds out and is then served
 */
export async function startCutOffHost(
  system: GatewaySystem,
  upstreams: readonly ProxiedUpstream[],
  paths: readonly string[],
): Promise<RunningHost> {
  const running = await system.startReadyHost('east', {ip: CUT_OFF_IP});
  await system.startReadyHost('east', {ip: HELPING_IP});
  await until(() => running.host.peerCount === 1);
  await cutOff(system, running, upstreams, paths);
  return running;
}

/** Cuts the host off from all upstreams; another one serves it then. */
export async function cutOff(
  system: GatewaySystem,
  running: RunningHost,
  upstreams: readonly ProxiedUpstream[],
  paths: readonly string[],
): Promise<void> {
  upstreams.forEach(({proxy}) => proxy.setClientFault(CUT_OFF_IP, 'reset'));
  await until(async () => {
    const replies = await Promise.all(
      paths.map(path => system.call(running, {path, method: 'POST'})),
    );
    return (
      replies.every(({status}) => status === 200) &&
      running.host.cutOffServices.length === paths.length
    );
  });
}
