/** Times and sizes of the fleet's own talk, each with its reason. */

import type {Milliseconds} from '../../time/index.js';

/**
 * Peers of the data centre that a host knows. Random graphs of this degree hold
 * together while half of their members are lost at once; all of a data centre of
 * today's small fleets fit in.
 */
export const NEAR_VIEW_SIZE = 16;
/** The same elsewhere: one for each of eight data centres. */
export const FAR_VIEW_SIZE = 8;
/** Peers in a datagram: with the sender's status some 600 bytes. */
export const SAMPLE_SIZE = 8;
/** A host exchanges peers with another this often. */
export const EXCHANGE_INTERVAL_MS: Milliseconds = 1_000;
/** Of so many exchanges, one crosses to another data centre: bytes are paid. */
export const EXCHANGES_PER_FAR_EXCHANGE = 5;
/** Now and then an introducer is asked again, which joins parted fleets. */
export const EXCHANGES_PER_INTRODUCER_EXCHANGE = 10;
/** Longer than it takes to hear of each peer known; dead ones go by then. */
export const PEER_TTL_MS: Milliseconds = 30_000;

/** While a source is looked for, hosts are asked this often, ... */
export const SEARCH_INTERVAL_MS: Milliseconds = 150;
/** ... and this often once ten rounds have found nobody. */
export const SLOW_SEARCH_INTERVAL_MS: Milliseconds = 600;
export const FAST_SEARCH_ROUNDS = 10;
/** Hosts asked in a round, so that one finds somebody though half of them are dead. */
export const SEARCH_FANOUT = 8;
/** Time for answers after the first: the one nearest to the reader is best. */
export const ANSWER_WINDOW_MS: Milliseconds = 15;
/** One nearby that has no more hosts than this before it is taken at once. */
export const IMMEDIATE_CHOICE_DEPTH = 1;
/**
 * Time for hosts of the data centre to answer before one elsewhere is followed:
 * some ten round trips within it.
 */
export const FAR_PARENT_DELAY_MS: Milliseconds = 60;

/**
 * Followers are told at once of news that are fresher by this: with the next sign of
 * life alone, their age would grow by the time between two signs at each host that
 * they come by.
 */
export const MIN_FRESHNESS_GAIN_MS: Milliseconds = 50;

/**
 * Followers are told that there is no source after this time: most hosts that
 * lose theirs find another in 20 ms, and all below them would look for one too.
 */
export const LOSS_REPORT_DELAY_MS: Milliseconds = 300;
/** A host moves to one by which its way to the reader is shorter by this. */
export const MIN_HOPS_SAVED = 2;

/** Followers that lose a reader begin to read one after the other. */
export const SUCCESSOR_DELAY_MS: Milliseconds = 40;
/** A host that lost a far one reads on: three round trips of 20 ms later. */
export const FAR_PARENT_LOSS_DELAY_MS: Milliseconds = 80;
/** One that lost a near follower of the reader is soon found another. */
export const NEAR_PARENT_LOSS_DELAY_MS: Milliseconds = 800;
/**
 * Hosts further from the reader that hear that the store fails ask it themselves
 * after this time, in case it turns away all those before them.
 */
export const DEEP_READ_DELAY_MS: Milliseconds = 3_000;
/**
 * Of these, so many of the fleet ask it in time all the same: those that hear that the
 * store fails hear it from few hosts, which may be cut off from it together.
 */
export const INDEPENDENT_DEEP_READERS = 8;
/** Calls of these hosts together a second, however many they are. */
export const DEEP_CALLS_PER_SECOND = 5;
/** Heirs that ask an absent store at once and each second or two, ... */
export const IMMEDIATE_SUCCESSORS = 3;
/** ... and when the others begin to, seldom: that many may be turned away. */
export const LATE_SUCCESSOR_DELAY_MS: Milliseconds = 1_000;

/**
 * A host that starts gives others this time, and as much by chance, before it
 * reads the store: callers wait meanwhile, and each such start costs a call for
 * each fifty upstreams.
 */
export const START_READ_DELAY_MS: Milliseconds = 500;
/** The same where all start for the first time, small hosts slowly. */
export const FIRST_START_READ_DELAY_MS: Milliseconds = 4_000;
/** The introducers read one after the other when all start, ... */
export const FIRST_START_INTRODUCER_DELAY_MS: Milliseconds = 300;
/** ... and together when they start again: others may be waiting for them. */
export const RESTART_INTRODUCER_DELAY_MS: Milliseconds = 60;
/** Time after which a host that nobody has answered asks the store's list. */
export const LIST_DELAY_MS: Milliseconds = 300;
/** A host that has no room tells that there is a source: it is looked for. */
export const REDIRECT_READ_DELAY_MS: Milliseconds = 500;
/** Hosts that asked one without a source are told of it within this time. */
export const WAITING_PEER_TTL_MS: Milliseconds = 2_000;
/** Hosts that are told, at most. */
export const MAX_WAITING_PEERS = 64;
/** A reader that knows nobody asks the list again, each time twice as late. */
export const MIN_RELIST_DELAY_MS: Milliseconds = 1_000;
export const MAX_RELIST_DELAY_MS: Milliseconds = 30_000;
/** A reader or head that stays one for this time introduces others. */
export const REGISTER_DELAY_MS: Milliseconds = 5_000;

/** Followers in other data centres: one for each of the others of eight. */
export const MAX_FAR_FOLLOWERS = 8;
/** Hosts that a follower which finds no room is sent to. */
export const REDIRECT_TARGETS = 3;
/** Most hosts that news come by before they reach one: 8^5 find room. */
export const MAX_PATH_LENGTH = 6;
/**
 * A follower that has said nothing for this time is gone: it tells of itself each
 * second. The connection alone wouldn't show it where its host lost power.
 */
export const FOLLOWER_TIMEOUT_MS: Milliseconds = 5_000;
/** A largest count holds for one to two of these, over cuts and restarts. */
export const SIZE_PERIOD_MS: Milliseconds = 60_000;
/** Time in which a fleet that starts is counted. */
export const START_SETTLE_MS: Milliseconds = 2_000;
/** Time in which hosts that join a fleet that was counted are counted too. */
export const JOIN_SETTLE_MS: Milliseconds = 1_000;
/** A count that changes is told on after this time, with those of others. */
export const SIZE_REPORT_INTERVAL_MS: Milliseconds = 100;
/** Hosts of the store's list that are asked at once. */
export const MAX_LISTED_CONTACTS = 4;
/**
 * Rounds in which a host asks others while it still follows one without news. More
 * would find nobody: while the store is away no host has a source.
 */
export const FOLLOWING_SEARCH_ROUNDS = 4;
