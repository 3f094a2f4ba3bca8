/** Simulates one scenario with one seed and one set of options. */

import type {DecisionOptions} from '../decisions/options/index.js';
import {recipientsOf} from '../decisions/sharing/index.js';
import {seededRandom} from '../time/index.js';
import {CallerModel} from './caller_model.js';
import {EventLoop} from './event_loop.js';
import {FleetModel} from './fleet_model.js';
import {HostModel} from './host_model.js';
import type {Scenario} from './scenario.js';
import {MS_PER_SECOND} from './scenario.js';
import type {Score} from './score.js';
import {creditBySecond, scoreOf} from './score.js';

/** Time after the last request for outstanding responses. */
const LAST_RESPONSES_MS = 3_000;

/** Hosts that each host knows in a large fleet. */
const KNOWN_PEERS = 24;

export interface Outcome extends Score {
  readonly seed: number;
  readonly creditBySecond: readonly number[];
}

export function emulate(
  scenario: Scenario,
  seed: number,
  options: DecisionOptions,
): Outcome {
  const loop = new EventLoop();
  const fleet = new FleetModel(scenario, loop, seededRandom(seed));
  const hosts = scenario.hosts.flatMap((count, dataCentre) =>
    Array.from(
      {length: count},
      (_, index) =>
        new HostModel(fleet, `${dataCentre}-${index}`, dataCentre, options),
    ),
  );
  hosts.forEach(host => {
    const near = hosts.filter(one => one.dataCentre === host.dataCentre);
    const recipients = recipientsOf(
      host.address,
      near.map(({address}) => address),
    );
    host.gossip.recipients = options.sharesView
      ? near.filter(({address}) => recipients.includes(address))
      : [];
  });
  hosts.forEach((host, index) => {
    const others = [...hosts.slice(index + 1), ...hosts.slice(0, index)];
    host.resetGossip.recipients = others
      .slice(0, KNOWN_PEERS)
      .map(({resetGossip}) => resetGossip);
  });
  const endMs = scenario.seconds * MS_PER_SECOND;
  new CallerModel(fleet, hosts, endMs);
  loop.runUntil(endMs + LAST_RESPONSES_MS);
  return {
    seed,
    ...scoreOf(scenario, fleet.callerRequests, fleet.costs),
    creditBySecond: creditBySecond(fleet.callerRequests),
  };
}
