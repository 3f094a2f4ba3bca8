/** Greetings as rows of MessagePack: names of fields would double their size. */

import {z} from 'zod';
import type {
  Greeting,
  KnownPeer,
  PeerStatus,
} from '../decisions/fleet/index.js';

/** What a greeting tells of others at most, so that none can flood a view. */
const MOST_SAMPLED = 16;
const MOST_PATH = 32;
/** A count beyond this is no host's: budgets would shrink to nothing. */
const MOST_HOSTS = 100_000;

const ADDRESS = z.string().min(1).max(64);
const AGE = z.number().min(0);
const STATUS = z.tuple([
  ADDRESS,
  z.string().min(1).max(128),
  z.number(),
  ADDRESS.nullable(),
  AGE,
  z.array(ADDRESS).max(MOST_PATH),
  z.string().max(64),
  z.number().int().min(1).max(MOST_HOSTS),
]);
const SAMPLED = z.tuple([ADDRESS, z.string().min(1).max(128), AGE]);
const GREETING = z.tuple([
  STATUS,
  z.boolean(),
  z.array(SAMPLED).max(MOST_SAMPLED),
  STATUS.nullable(),
]);

type StatusRow = z.infer<typeof STATUS>;

export function encodeGreeting(greeting: Greeting): unknown {
  const {from, wantsReply, sample, stranger} = greeting;
  return [
    statusRow(from),
    wantsReply,
    sample.map(({address, dataCentre, ageMs}) => [
      address,
      dataCentre,
      Math.round(ageMs),
    ]),
    stranger ? statusRow(stranger) : null,
  ];
}

/** Undefined for what no host of this version sends. */
export function decodeGreeting(body: unknown): Greeting | undefined {
  const parsed = GREETING.safeParse(body);
  if (!parsed.success) {
    return undefined;
  }
  const [from, wantsReply, sample, stranger] = parsed.data;
  return {
    from: statusOf(from),
    wantsReply,
    sample: sample.map(([address, dataCentre, ageMs]): KnownPeer => ({
      address,
      dataCentre,
      ageMs,
    })),
    stranger: stranger ? statusOf(stranger) : undefined,
  };
}

function statusRow(status: PeerStatus): StatusRow {
  return [
    status.address,
    status.dataCentre,
    status.incarnation,
    status.reader ?? null,
    Math.round(status.newsAgeMs),
    [...status.path],
    status.head,
    status.below,
  ];
}

function statusOf(row: StatusRow): PeerStatus {
  const [
    address,
    dataCentre,
    incarnation,
    reader,
    newsAgeMs,
    path,
    head,
    below,
  ] = row;
  return {
    address,
    dataCentre,
    incarnation,
    reader: reader ?? undefined,
    newsAgeMs,
    path,
    head,
    below,
  };
}
