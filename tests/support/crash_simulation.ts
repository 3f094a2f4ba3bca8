/** Hosts that tell each other of crashing requests, in simulated time. */

import type {
  GossipMessage,
  GossipPayload,
} from '../../src/decisions/gossip/index.js';
import {Gossip} from '../../src/decisions/gossip/index.js';
import type {CrashRecord} from '../../src/decisions/quarantine/index.js';
import {Quarantine} from '../../src/decisions/quarantine/index.js';
import type {Milliseconds, Random} from '../../src/time/index.js';
import {ManualClock, seededRandom} from '../../src/time/index.js';

const STEP_MS = 5;
/** Hosts that each one knows: as many as its view holds. */
const KNOWN_PEERS = 24;

export interface GossipHost {
  readonly address: string;
  readonly quarantine: Quarantine;
  readonly gossip: Gossip<CrashRecord>;
  isPartitioned: boolean;
  sent: number;
}

interface Delivery {
  readonly at: Milliseconds;
  readonly from: GossipHost;
  readonly to: GossipHost;
  readonly news: GossipPayload<CrashRecord>;
}

export class CrashSimulation {
  readonly clock = new ManualClock(0);
  readonly hosts: GossipHost[] = [];
  private readonly random: Random;
  private inTransit: Delivery[] = [];

  /** @param loss share of the datagrams that are lost */
  constructor(
    hosts: number,
    seed: number,
    private readonly loss = 0,
  ) {
    this.random = seededRandom(seed);
    for (let i = 0; i < hosts; i += 1) {
      this.start(`h${i}`);
    }
  }

  start(address: string): GossipHost {
    const {clock, random} = this;
    const quarantine = new Quarantine(clock);
    const known = new Map<GossipHost, string>();
    const peers = (): readonly string[] => {
      const others = this.hosts.filter(one => one !== host);
      while (known.size < Math.min(KNOWN_PEERS, others.length)) {
        const one = others[Math.floor(random() * others.length)];
        if (one) {
          known.set(one, one.address);
        }
      }
      return [...known.values()];
    };
    const spread = new Gossip({table: quarantine, peers, clock, random});
    const host = {address, quarantine, spread, isCut: false, sent: 0};
    this.hosts.push(host);
    return host;
  }

  crash(host: GossipHost, fingerprint: string, life: string): void {
    host.quarantine.noteCrash(fingerprint, life);
    host.gossip.enqueue(fingerprint);
  }

  run(ms: Milliseconds): void {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      this.clock.advance(STEP_MS);
      this.deliver();
      for (const host of this.hosts) {
        if (this.clock.now() >= host.gossip.dueAt) {
          this.send(host, host.gossip.takeDueMessages());
        }
      }
    }
  }

  /** Hosts that would refuse a request, if what they heard is true. */
  countQuarantining(fingerprint: string): number {
    return this.hosts.filter(
      ({quarantine}) => quarantine.verdictOf(fingerprint).kind !== 'free',
    ).length;
  }

  private send(
    from: GossipHost,
    messages: readonly GossipMessage<CrashRecord>[],
  ): void {
    for (const {to, payload: news} of messages) {
      for (const address of to) {
        const receiver = this.hosts.find(one => one.address === address);
        from.sent += 1;
        const isLost = from.isPartitioned || this.random() < this.loss;
        if (receiver && !isLost) {
          const at = this.clock.now() + 1 + 9 * this.random();
          this.inTransit.push({at, from, to: receiver, news});
        }
      }
    }
  }

  private deliver(): void {
    const now = this.clock.now();
    const due = this.inTransit.filter(({at}) => at <= now);
    this.inTransit = this.inTransit.filter(({at}) => at > now);
    for (const {from, to, news} of due) {
      if (to.isPartitioned) {
        continue;
      }
      if (news.kind === 'question') {
        this.send(to, to.gossip.answerTo(from.address));
        continue;
      }
      to.gossip.merge(news.records);
      if (news.kind === 'answer') {
        to.gossip.answerReceived();
      }
    }
  }
}
