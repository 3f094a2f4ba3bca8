import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {Peer, PeerFault} from '../src/decisions/relay/index.js';
import {SourceChoice} from '../src/decisions/relay/index.js';
import {ManualClock} from '../src/time/index.js';

const DATA_CENTRES = ['east', 'west', 'north'] as const;

const FLEETS = fc.array(fc.constantFrom(...DATA_CENTRES), {
  minLength: 2,
  maxLength: 12,
});
const EVENTS = fc.array(
  fc.record({
    host: fc.nat(11),
    fault: fc.constantFrom<PeerFault>('unreachable', 'stale'),
    passes: fc.nat(3_000),
  }),
  {maxLength: 40},
);

function buildFleet(
  places: readonly string[],
  clock: ManualClock,
): {readonly peers: readonly Peer[]; readonly choices: SourceChoice[]} {
  const peers = places.map((dataCentre, rank) => ({
    address: `h${rank}`,
    dataCentre,
    rank,
  }));
  const choices = peers.map(({address, dataCentre}) => {
    const choice = new SourceChoice(dataCentre, clock);
    choice.identify(address);
    choice.setPeers(peers);
    return choice;
  });
  return {peers, choices};
}

/** The host that each follows; undefined for those that read the store. */
function followed(choices: readonly SourceChoice[]): (Peer | undefined)[] {
  return choices.map(choice => {
    const source = choice.preferred();
    return source.kind === 'peer' ? source.peer : undefined;
  });
}

test('whatever fails, hosts never follow each other in a circle', () => {
  // Hosts that follow each other in a circle all believe that another one
  // reads the store. None does, and no change reaches any of them.
  fc.assert(
    fc.property(FLEETS, EVENTS, (places, events) => {
      const clock = new ManualClock();
      const {peers, choices} = buildFleet(places, clock);
      for (const {host, fault, passes} of events) {
        const choice = choices[host % choices.length];
        const source = choice?.preferred();
        if (source?.kind === 'peer') {
          choice?.failed(source.peer, fault);
        }
        clock.advance(passes);
        followed(choices).forEach((peer, index) => {
          expect(peer?.rank ?? -1).toBeLessThan(peers[index]?.rank ?? 0);
        });
      }
    }),
    {seed: 7, numRuns: 300},
  );
});

test('the first host of the fleet always reads the store itself', () => {
  fc.assert(
    fc.property(FLEETS, places => {
      const {choices} = buildFleet(places, new ManualClock());
      const readers = followed(choices).filter(peer => peer === undefined);
      expect(readers).toHaveLength(1);
      expect(choices[0]?.preferred().kind).toBe('store');
    }),
    {seed: 7, numRuns: 100},
  );
});

test('one stream at most crosses to each other data centre', () => {
  // Bytes between data centres are paid for.
  fc.assert(
    fc.property(FLEETS, places => {
      const {peers, choices} = buildFleet(places, new ManualClock());
      const crossing = followed(choices).flatMap((peer, index) => {
        const own = peers[index]?.dataCentre ?? '';
        return peer && peer.dataCentre !== own ? [own] : [];
      });
      expect(new Set(crossing).size).toBe(crossing.length);
    }),
    {seed: 7, numRuns: 100},
  );
});
