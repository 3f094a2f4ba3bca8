/** Policies to compare with, and the limit that none can pass. */

import type {FakeServer} from './fake_server.js';
import type {
  Policy,
  PolicyFactory,
  SimulatedRequest,
  Simulation,
} from './simulation.js';

/** Chooses one of the servers for a request at a host. */
type ServerChoice = (
  host: number,
  servers: readonly FakeServer[],
) => FakeServer;

/** Sends each request at once; the choice is all that differs. */
class DirectPolicy implements Policy {
  private usable: readonly FakeServer[];

  constructor(
    private readonly simulation: Simulation,
    private readonly choose: ServerChoice,
    private readonly inFlight?: Map<string, number>,
  ) {
    this.usable = simulation.servers;
    simulation.simulator.after(0, () => {
      this.usable = this.usable.filter(server => !server.stopped);
    });
  }

  onLeaving(server: FakeServer): void {
    this.usable = this.usable.filter(one => one !== server);
  }

  onAdded(server: FakeServer): void {
    this.usable = [...this.usable, server];
  }

  handleRequest(request: SimulatedRequest): void {
    const {host} = request;
    const server = this.choose(host, this.usable);
    this.count(host, server, 1);
    const from = this.simulation.dataCentreOf(host);
    this.simulation.attempt(request, server, from, result => {
      this.count(host, server, -1);
      if (result === 'answered') {
        this.simulation.recordResponse(request);
      }
    });
  }

  private count(host: number, server: FakeServer, by: number): void {
    const key = `${host}/${server.name}`;
    this.inFlight?.set(key, (this.inFlight.get(key) ?? 0) + by);
  }
}

export const random: PolicyFactory = simulation =>
  new DirectPolicy(simulation, (_host, servers) => pick(simulation, servers));

export const roundRobin: PolicyFactory = simulation => {
  const turns = new Map<number, number>();
  return new DirectPolicy(simulation, (host, servers) => {
    const turn =
      turns.get(host) ?? Math.floor(simulation.simulator.random() * 97);
    turns.set(host, turn + 1);
    return at(servers, turn % servers.length);
  });
};

/** Of two drawn, the one with fewer own requests in flight. */
export const leastInFlight: PolicyFactory = simulation => {
  const inFlight = new Map<string, number>();
  const load = (host: number, server: FakeServer): number =>
    inFlight.get(`${host}/${server.name}`) ?? 0;
  return new DirectPolicy(
    simulation,
    (host, servers) => {
      const a = pick(simulation, servers);
      const b = pick(simulation, servers);
      return load(host, a) <= load(host, b) ? a : b;
    },
    inFlight,
  );
};

/**
 * One queue with instant knowledge, the fastest slot first. It stands where
 * the servers are, so no slot idles for the distance; a request still pays
 * its way to the server and back, which no policy can spare it.
 */
class Oracle implements Policy {
  private readonly waiting: SimulatedRequest[] = [];
  private readonly excluded = new Set<FakeServer>();

  constructor(private readonly simulation: Simulation) {}

  onLeaving(server: FakeServer): void {
    this.excluded.add(server);
  }

  onAdded(): void {
    this.place();
  }

  handleRequest(request: SimulatedRequest): void {
    this.waiting.push(request);
    this.place();
  }

  private place(): void {
    for (;;) {
      const request = this.fastestFree(0) && this.next();
      if (!request) {
        return;
      }
      const from = this.simulation.dataCentreOf(request.host);
      const server = this.fastestFree(from);
      if (!server) {
        return;
      }
      const distance = this.simulation.distance(from, server.dataCentre);
      server.submit({
        remaining: request.work,
        finish: () => {
          this.simulation.simulator.after(2 * distance, () =>
            this.simulation.recordResponse(request),
          );
          this.place();
        },
      });
    }
  }

  private next(): SimulatedRequest | undefined {
    const {now} = this.simulation.simulator;
    const prompt = this.waiting.findIndex(one => one.class === 'prompt');
    const [request] = this.waiting.splice(Math.max(0, prompt), 1);
    return request && request.deadlineAt < now ? this.next() : request;
  }

  /** Of equally fast ones the nearest. */
  private fastestFree(from: number): FakeServer | undefined {
    let best: FakeServer | undefined;
    for (const server of this.simulation.servers) {
      const usable =
        server.freeSlots > 0 &&
        !server.failing &&
        !server.stopped &&
        !this.excluded.has(server);
      const speed = best?.speed ?? 0;
      const nearer =
        server.speed === speed &&
        server.dataCentre === from &&
        best?.dataCentre !== from;
      if (usable && (server.speed > speed || nearer)) {
        best = server;
      }
    }
    return best;
  }
}

export const oracle: PolicyFactory = simulation => new Oracle(simulation);

function pick(
  simulation: Simulation,
  servers: readonly FakeServer[],
): FakeServer {
  const index = Math.floor(simulation.simulator.random() * servers.length);
  return at(servers, index);
}

function at(servers: readonly FakeServer[], index: number): FakeServer {
  const server = servers[index];
  if (!server) {
    throw new Error('a scenario needs at least one server');
  }
  return server;
}
