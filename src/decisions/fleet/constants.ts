/**
 * Intervals, timeouts and sizes of the protocol between hosts, with their
 * reasons.
 */

import type {Milliseconds} from '../../time/index.js';

/**
 * Peers of its data centre that a host knows. Random graphs of this degree stay
 * connected when half of their members fail at once; a data centre of a small
 * fleet fits in whole.
 */
export const NEAR_VIEW_SIZE = 16;
/** Peers of other data centres: one for each of eight. */
export const FAR_VIEW_SIZE = 8;
/** Peers in a greeting; with the sender's status some 600 bytes. */
export const SAMPLE_SIZE = 8;
/** How often a host exchanges samples with a peer. */
export const EXCHANGE_INTERVAL_MS: Milliseconds = 1_000;
/**
 * One exchange in this many goes to another data centre: that traffic is paid
 * for.
 */
export const EXCHANGES_PER_FAR_EXCHANGE = 5;
/**
 * One in this many goes to an introducer, which merges fleets after a
 * partition.
 */
export const EXCHANGES_PER_INTRODUCER_EXCHANGE = 10;
/** Longer than it takes to hear from every known peer; dead ones expire. */
export const PEER_TTL_MS: Milliseconds = 30_000;

/** Interval between query rounds while a host searches for a parent, ... */
export const SEARCH_INTERVAL_MS: Milliseconds = 150;
/** ... and after ten rounds without a result. */
export const SLOW_SEARCH_INTERVAL_MS: Milliseconds = 600;
export const FAST_SEARCH_ROUNDS = 10;
/**
 * Hosts queried in a round, so that one answers even if half of them are dead.
 */
export const SEARCH_FANOUT = 8;
/**
 * Time to wait for more answers after the first: the host nearest to the reader
 * is best.
 */
export const ANSWER_WINDOW_MS: Milliseconds = 15;
/**
 * A host of the same data centre whose path is no longer than this is chosen at
 * once.
 */
export const IMMEDIATE_CHOICE_DEPTH = 1;
/**
 * Time for hosts of the same data centre to answer before one elsewhere becomes
 * the parent: some ten round trips within the data centre.
 */
export const FAR_PARENT_DELAY_MS: Milliseconds = 60;

/**
 * Data that is fresher by this much is announced to followers at once. If it
 * waited for the next regular heartbeat, its age would grow by a heartbeat
 * interval at each hop.
 */
export const MIN_FRESHNESS_GAIN_MS: Milliseconds = 50;

/**
 * Followers are told of a lost source after this time: most hosts find another
 * in 20 ms, and if told at once, their whole subtree would search too.
 */
export const LOSS_REPORT_DELAY_MS: Milliseconds = 300;
/**
 * A host changes its parent if that makes its path to the reader shorter by
 * this.
 */
export const MIN_HOPS_SAVED = 2;

/**
 * Followers that lose the reader start to read one after the other, at this
 * interval.
 */
export const SUCCESSOR_DELAY_MS: Milliseconds = 40;
/**
 * Delay before a host that lost a parent in another data centre reads the
 * store: three round trips of 20 ms fit in.
 */
export const FAR_PARENT_LOSS_DELAY_MS: Milliseconds = 80;
/** The same for a parent in its own data centre: another one is soon found. */
export const NEAR_PARENT_LOSS_DELAY_MS: Milliseconds = 800;
/**
 * Hosts further from the reader that are told that the store fails read it
 * themselves after this time, in case it refuses all hosts above them.
 */
export const DEEP_READ_DELAY_MS: Milliseconds = 3_000;
/**
 * Expected number of these hosts in a fleet that read the store at each of two
 * ages all the same: the reports of its failure come from few hosts, which may
 * be cut off from it together.
 */
export const INDEPENDENT_DEEP_READERS = 8;
/** Rate of calls of all these hosts together, however many they are. */
export const DEEP_CALLS_PER_SECOND = 5;
/**
 * Successors that read an unavailable store at once and retry every second or
 * two. ...
 */
export const IMMEDIATE_SUCCESSORS = 3;
/**
 * ... The others start after this time and retry rarely: the store may refuse
 * all of the first ones.
 */
export const LATE_SUCCESSOR_DELAY_MS: Milliseconds = 1_000;

/**
 * A starting host looks for a parent for this time, and up to as long again at
 * random, before it reads the store: callers wait meanwhile, and each such read
 * costs a call per fifty upstreams.
 */
export const START_READ_DELAY_MS: Milliseconds = 500;
/**
 * The same when the whole fleet starts for the first time: small hosts start
 * slowly.
 */
export const FIRST_START_READ_DELAY_MS: Milliseconds = 4_000;
/**
 * On a first start the introducers start to read one after the other, at this
 * interval; ...
 */
export const FIRST_START_INTRODUCER_DELAY_MS: Milliseconds = 300;
/**
 * ... on a restart all do after this time: other hosts may be waiting for them.
 */
export const RESTART_INTRODUCER_DELAY_MS: Milliseconds = 60;
/**
 * Time after which a host without any answer reads the store's list of
 * introducers.
 */
export const LIST_DELAY_MS: Milliseconds = 300;
/**
 * Time for which a redirected host doesn't read the store: a full host implies
 * that there is a source to search for.
 */
export const REDIRECT_READ_DELAY_MS: Milliseconds = 500;
/**
 * Peers that queried a host without a source are notified if it finds one
 * within this time.
 */
export const WAITING_PEER_TTL_MS: Milliseconds = 2_000;
/** Most peers that are notified. */
export const MAX_WAITING_PEERS = 64;
/**
 * A reader that knows no peer reads the list again, with an exponential delay.
 */
export const MIN_RELIST_DELAY_MS: Milliseconds = 1_000;
export const MAX_RELIST_DELAY_MS: Milliseconds = 30_000;
/**
 * A host that stays the reader or a head for this time registers as an
 * introducer.
 */
export const REGISTER_DELAY_MS: Milliseconds = 5_000;

/**
 * Followers in other data centres: one for each, of up to eight data centres.
 */
export const MAX_FAR_FOLLOWERS = 8;
/** Hosts named to a follower that is redirected. */
export const REDIRECT_TARGETS = 3;
/** Most hosts that relay an update before it reaches a host: 8^5 hosts fit. */
export const MAX_PATH_LENGTH = 6;
/**
 * A follower that sends no greeting for this time is lost: it sends one each
 * second. Its connection stays open if its host loses power.
 */
export const FOLLOWER_TIMEOUT_MS: Milliseconds = 5_000;
/**
 * A follower from which nothing was heard for this time, in which it sends two
 * or three greetings, counts neither as reachable nor as a grantor. A part of
 * the fleet that is cut off must know it before the other part grants permits.
 */
export const REACHABLE_TIMEOUT_MS: Milliseconds = 2_500;
/**
 * A count of hosts that held for this time is the size of the fleet: moves in
 * the tree are counted twice for a second or two.
 */
export const LASTING_COUNT_MS: Milliseconds = 3_500;
/**
 * A largest count holds for one to two of these periods, across partitions and
 * restarts.
 */
export const SIZE_PERIOD_MS: Milliseconds = 60_000;
/** Time in which a starting fleet is counted. */
export const START_SETTLE_MS: Milliseconds = 2_000;
/**
 * Time in which hosts that join a fleet that has been counted are counted too.
 */
export const JOIN_SETTLE_MS: Milliseconds = 1_000;
/**
 * Shortest interval between reports of a subtree's size, which combine several
 * changes.
 */
export const SIZE_REPORT_INTERVAL_MS: Milliseconds = 100;
/** Hosts of the store's list that are greeted at once. */
export const MAX_LISTED_CONTACTS = 4;
/**
 * Query rounds of a host whose parent has no source. More would find none:
 * while the store is unavailable no host has one.
 */
export const FOLLOWING_SEARCH_ROUNDS = 4;
