import fc from 'fast-check';
import {beforeEach, expect, test} from 'vitest';
import type {
  FollowRequest,
  NodeAction,
  Peer,
  PeerStatus,
  Heartbeat,
} from '../src/decisions/fleet/index.js';
import {
  FleetNode,
  FleetSize,
  FollowerSlots,
  Freshness,
  PartialView,
  PeerBackoffs,
  propagationBudget,
} from '../src/decisions/fleet/index.js';
import {decodeGreeting, encodeGreeting} from '../src/fleet/greeting_codec.js';
import {ManualClock, seededRandom} from '../src/time/index.js';

const SELF: Peer = {address: '10.0.0.50:7', dataCentre: 'east'};

let clock: ManualClock;

beforeEach(() => {
  clock = new ManualClock(1_000);
});

function peer(number: number, dataCentre = 'east'): Peer {
  return {address: `10.0.0.${number}:7`, dataCentre};
}

function followRequest(number: number, dataCentre = 'east'): FollowRequest {
  return {...peer(number, dataCentre), avoid: []};
}

function peerStatus(
  number: number,
  differing: Partial<PeerStatus> = {},
): PeerStatus {
  return {
    ...peer(number),
    reader: peer(1).address,
    newsAgeMs: 100,
    path: [peer(1).address],
    head: '',
    subtreeSize: 1,
    ...differing,
  };
}

function heartbeat(differing: Partial<Heartbeat> = {}): Heartbeat {
  return {
    kind: 'alive',
    ageMs: 100,
    reader: peer(1).address,
    path: [peer(1).address, peer(2).address],
    head: '',
    isStoreFailing: false,
    heirs: [],
    hosts: 9,
    isCounted: true,
    end: 0,
    ...differing,
  };
}

function createNode(introducers: readonly string[] = []): FleetNode {
  return new FleetNode({
    self: SELF,
    introducers,
    firstStart: false,
    maxNearFollowers: 8,
    budget: propagationBudget(2_000),
    freshness: new Freshness(clock),
    size: new FleetSize(clock),
    clock,
    random: seededRandom(1),
  });
}

/** Ticks for a while and collects what is to be done. */
function tickFor(node: FleetNode, ms: number): readonly NodeAction[] {
  const actions: NodeAction[] = [];
  for (let passed = 0; passed < ms; passed += 10) {
    clock.advance(10);
    actions.push(...node.tick());
  }
  return actions;
}

function kindsOf(actions: readonly NodeAction[]): readonly string[] {
  return actions.map(({kind}) => kind);
}

function followedAddresses(actions: readonly NodeAction[]): readonly string[] {
  return actions.flatMap(action =>
    action.kind === 'follow' ? [action.peer.address] : [],
  );
}

/** A host that follows peer 2, which follows the reader, peer 1. */
function createFollowingNode(): FleetNode {
  const node = createNode([peer(2).address]);
  const from = peerStatus(2);
  const actions = node.greetingReceived({from, wantsReply: false, sample: []});
  expect(followedAddresses(actions)).toEqual([peer(2).address]);
  node.heartbeatReceived(heartbeat());
  expect(node.hasFreshParent).toBe(true);
  return node;
}

test('a host knows a bounded number of others, whatever it is told', () => {
  const view = new PartialView(SELF, clock, seededRandom(1));
  for (let i = 0; i < 200; i += 1) {
    const dataCentre = i % 2 === 0 ? 'east' : 'west';
    view.merge([{...peer(i, dataCentre), ageMs: i}]);
  }
  expect(view.near).toHaveLength(16);
  expect(view.far).toHaveLength(8);
  expect(view.sampleFor(peer(3).address).length).toBeLessThanOrEqual(8);
});

test('hosts that tell of themselves no more are forgotten everywhere', () => {
  // A host dies. Others go on telling of it what they once heard; its age tells
  // all of them that nobody has heard from it since.
  const view = new PartialView(SELF, clock, seededRandom(1));
  view.recordContact(peer(1));
  clock.advance(20_000);
  view.merge([{...peer(1), ageMs: 20_000}]);
  expect(view.nearHeardWithin(10_000)).toEqual([]);
  clock.advance(11_000);
  view.merge([{...peer(1), ageMs: 31_000}]);
  view.removeExpired();
  expect(view.size).toBe(0);
});

test('the one that was heard of least is asked next', () => {
  const view = new PartialView(SELF, clock, seededRandom(1));
  view.merge([
    {...peer(1), ageMs: 50},
    {...peer(2), ageMs: 900},
    {...peer(3, 'west'), ageMs: 5_000},
  ]);
  expect(view.oldestPeer(true)?.address).toBe(peer(2).address);
  expect(view.oldestPeer(false)?.address).toBe(peer(3).address);
});

test('a host takes few followers and sends others to them', () => {
  const slots = new FollowerSlots(SELF, 2, clock, seededRandom(1));
  expect(slots.admit(followRequest(1), []).kind).toBe('accept');
  expect(slots.admit(followRequest(2), []).kind).toBe('accept');
  const third = slots.admit(followRequest(3), []);
  expect(third.kind).toBe('redirect');
  const named = third.kind === 'redirect' ? third.peers : [];
  expect(named.map(({address}) => address).sort()).toEqual(
    [peer(1).address, peer(2).address].sort(),
  );
  slots.release(peer(1).address);
  expect(slots.admit(followRequest(3), []).kind).toBe('accept');
});

test('one follower of each other data centre is taken', () => {
  const slots = new FollowerSlots(SELF, 8, clock, seededRandom(1));
  expect(slots.admit(followRequest(1, 'west'), []).kind).toBe('accept');
  expect(slots.admit(followRequest(2, 'west'), [])).toEqual({
    kind: 'redirect',
    peers: [peer(1, 'west')],
  });
  expect(slots.admit(followRequest(3, 'north'), []).kind).toBe('accept');
});

test('who cannot reach the one it is sent to is taken itself', () => {
  // The follower of a data centre loses power. Until its silence is noticed the
  // next host of that data centre would be sent to it, again and again.
  const slots = new FollowerSlots(SELF, 8, clock, seededRandom(1));
  slots.admit(followRequest(1, 'west'), []);
  const again = {...followRequest(2, 'west'), avoid: [peer(1).address]};
  expect(slots.admit(again, []).kind).toBe('accept');
});

test('a follower that says nothing is told apart by its silence', () => {
  const slots = new FollowerSlots(SELF, 8, clock, seededRandom(1));
  slots.admit(followRequest(1), []);
  slots.admit(followRequest(2), []);
  clock.advance(4_000);
  slots.updateSubtreeSize(peer(2).address, 5);
  clock.advance(2_000);
  expect(slots.silent).toEqual([peer(1).address]);
  expect(slots.subtreeSize).toBe(7);
});

test('nobody is followed by a host that its own news come by', () => {
  const slots = new FollowerSlots(SELF, 8, clock, seededRandom(1));
  expect(slots.admit(followRequest(1), [peer(1).address]).kind).toBe('refuse');
});

test('a count that falls holds for a minute, one that rises at once', () => {
  const size = new FleetSize(clock);
  size.observe(100);
  expect(size.estimate).toBe(100);
  clock.advance(50_000);
  size.observe(50);
  expect(size.estimate).toBe(100);
  clock.advance(130_000);
  size.observe(50);
  expect(size.estimate).toBe(50);
  size.observe(200);
  expect(size.estimate).toBe(200);
});

test('a fleet that starts spends nothing that all share until it is counted', () => {
  const size = new FleetSize(clock);
  size.observe(3);
  expect(size.settledEstimate).toBe(0);
  clock.advance(10_000);
  expect(size.settledEstimate).toBe(3);
});

test('who fails is left alone, longer each time, up to a bound', () => {
  const suspensions = new PeerBackoffs(clock);
  suspensions.add('a', 'unreachable');
  expect(suspensions.has('a')).toBe(true);
  clock.advance(1_000);
  expect(suspensions.has('a')).toBe(false);
  for (let i = 0; i < 10; i += 1) {
    suspensions.add('a', 'unreachable');
  }
  clock.advance(7_900);
  expect(suspensions.unreachable).toEqual(['a']);
  clock.advance(200);
  expect(suspensions.has('a')).toBe(false);
});

test('a host that starts asks introducers before the store', () => {
  const node = createNode([peer(1).address, peer(2).address]);
  const actions = tickFor(node, 280);
  expect(kindsOf(actions)).toContain('greet');
  expect(kindsOf(actions)).not.toContain('list');
  expect(kindsOf(actions)).not.toContain('read');
});

test('a host whose introducers say nothing asks the store who else can', () => {
  const node = createNode([peer(1).address]);
  expect(kindsOf(tickFor(node, 650))).toContain('list');
  const actions = node.introducersListed([peer(3), SELF]);
  expect(actions).toEqual([
    {kind: 'greet', to: [peer(3).address], wantsReply: true},
  ]);
});

test('a host that is alone reads the store at once', () => {
  const node = createNode();
  const actions = [...tickFor(node, 20), ...node.introducersListed([])];
  expect(kindsOf([...actions, ...tickFor(node, 20)])).toContain('read');
});

test('the one nearest to the reader is followed', () => {
  const node = createNode([peer(1).address]);
  const far = peerStatus(3, {path: [peer(1).address, peer(2).address]});
  const actions = [far, peerStatus(2)].flatMap(from =>
    node.greetingReceived({from, wantsReply: false, sample: []}),
  );
  expect(followedAddresses([...actions, ...tickFor(node, 50)])).toEqual([
    peer(2).address,
  ]);
});

test('nobody is followed who has no source, old news, or hears by this host', () => {
  const node = createNode([peer(1).address]);
  const unfit = [
    peerStatus(2, {reader: undefined}),
    peerStatus(3, {newsAgeMs: 5_000}),
    peerStatus(4, {path: [SELF.address]}),
    peerStatus(5, {reader: SELF.address}),
  ];
  unfit.forEach(from =>
    node.greetingReceived({from, wantsReply: false, sample: []}),
  );
  expect(kindsOf(tickFor(node, 200))).not.toContain('follow');
});

test('a circle is left as soon as a sign of life tells of it', () => {
  // Two hosts lose their source at once and each follows the other. Both would
  // believe that the other one's news come from the store.
  const node = createFollowingNode();
  const path = [peer(1).address, SELF.address, peer(2).address];
  expect(kindsOf(node.heartbeatReceived(heartbeat({path})))).toContain(
    'unfollow',
  );
  expect(node.hasFreshParent).toBe(false);
});

test('who is told that there is no source waits with the one it follows', () => {
  const node = createFollowingNode();
  const actions = node.heartbeatReceived(heartbeat({reader: undefined}));
  expect(kindsOf(actions)).toEqual(['tell']);
  expect(kindsOf(tickFor(node, 900))).not.toContain('unfollow');
  expect(node.admit(followRequest(9)).kind).toBe('refuse');
});

test('a host far from the reader asks the store itself, in the end', () => {
  // The store turns away the reader and all who would take its place. Only hosts
  // further away can find out that it serves them, and nobody would hear of a
  // change until one of them asks.
  const node = createFollowingNode();
  node.heartbeatReceived(
    heartbeat({reader: undefined, isStoreFailing: true, hosts: 300}),
  );
  expect(kindsOf(tickFor(node, 2_900))).not.toContain('read');
  expect(kindsOf(tickFor(node, 61_000))).toContain('read');
});

test('old news of the host that is followed are no source', () => {
  // The reader is frozen. Its followers go on telling signs of life.
  const node = createFollowingNode();
  node.heartbeatReceived(heartbeat({ageMs: 2_000}));
  expect(node.hasFreshParent).toBe(false);
});

test('followers of a reader that is lost read in turn', () => {
  const heirs = [peer(8).address, peer(9).address, SELF.address];
  const node = createFollowingNode();
  node.heartbeatReceived(heartbeat({path: [peer(2).address], heirs}));
  node.ended('unreachable');
  expect(kindsOf(tickFor(node, 70))).not.toContain('read');
  expect(kindsOf(tickFor(node, 30))).toContain('read');
});

test('a host that follows another of its data centre is slow to read', () => {
  const node = createFollowingNode();
  node.ended('unreachable');
  expect(kindsOf(tickFor(node, 700))).not.toContain('read');
  expect(kindsOf(tickFor(node, 700))).toContain('read');
});

test('followers hear of a loss only if it lasts', () => {
  // Most hosts that lose the one they follow find another in 20 ms. Told at
  // once, all below them would look for one too.
  const node = createFollowingNode();
  expect(kindsOf(node.ended('unreachable'))).not.toContain('tell');
  expect(kindsOf(tickFor(node, 250))).not.toContain('tell');
  expect(kindsOf(tickFor(node, 100))).toContain('tell');
});

test('of two readers one follows the other', () => {
  const node = createNode();
  node.tick();
  node.introducersListed([]);
  node.tick();
  node.storeAnswered(clock.now());
  expect(node.isRoot).toBe(true);
  const lower = peerStatus(2, {reader: peer(1).address});
  const actions = node.greetingReceived({
    from: lower,
    wantsReply: false,
    sample: [],
  });
  expect(followedAddresses(actions)).toContain(peer(2).address);
  expect(kindsOf(node.heartbeatReceived(heartbeat()))).toContain(
    'stop-reading',
  );
});

test('a reader keeps reading while one with a later address reads too', () => {
  const node = createNode();
  node.tick();
  node.introducersListed([]);
  node.tick();
  node.storeAnswered(clock.now());
  const later = peerStatus(2, {reader: '10.0.0.9:7', path: ['10.0.0.9:7']});
  node.greetingReceived({from: later, wantsReply: false, sample: []});
  expect(node.isRoot).toBe(true);
});

test('a follower tells its reader of another one', () => {
  const node = createFollowingNode();
  const stranger = peerStatus(30, {reader: '10.0.0.0:7', path: ['10.0.0.0:7']});
  const actions = node.greetingReceived({
    from: stranger,
    wantsReply: false,
    sample: [],
  });
  expect(actions).toContainEqual({
    kind: 'greet',
    to: [peer(1).address],
    wantsReply: false,
    stranger,
  });
});

test('greetings come back as they were', () => {
  const greeting = {
    from: peerStatus(1, {reader: undefined}),
    wantsReply: true,
    sample: [{...peer(2, 'west'), ageMs: 12}],
    stranger: peerStatus(3),
  };
  expect(decodeGreeting(encodeGreeting(greeting))).toEqual(greeting);
});

test('what no host sends is no greeting, whatever it is', () => {
  fc.assert(
    fc.property(fc.anything(), body => {
      expect(decodeGreeting(body)).toBeUndefined();
    }),
    {seed: 25, numRuns: 500},
  );
  const row = encodeGreeting({
    from: peerStatus(1, {subtreeSize: 0}),
    wantsReply: false,
    sample: [],
  });
  expect(decodeGreeting(row)).toBeUndefined();
});
