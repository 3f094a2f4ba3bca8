/**
 * Decodes the records with which upstreams register themselves.
 *
 * Other programs may write to the same topic, also by mistake. A record with a
 * missing or invalid field is rejected as a whole: the rest of it might name an
 * address that belongs to another server.
 */

import type {Result} from 'neverthrow';
import type {UpstreamReport} from '../decisions/registry/index.js';
import type {Fields} from '../records/index.js';
import {
  RecordError,
  decode,
  fields,
  text,
  wholeNumber,
} from '../records/index.js';
import type {Milliseconds} from '../time/index.js';
import {duration} from './duration.js';
import {parseDestination} from './settings_file.js';

/** Topic of the upstreams' records; the key is the upstream's name. */
export const UPSTREAM_TOPIC = 'keyed.servers';

/** Records of upstreams have some 200 characters. */
const MAX_RECORD_CHARACTERS = 8_192;

/** Whether an upstream in a state is leaving, so that it gets no new requests. */
const LEAVING_BY_STATE: ReadonlyMap<unknown, boolean> = new Map([
  ['ready', false],
  ['draining', true],
]);

/** @param name the record's key */
export function decodeUpstream(
  name: string,
  value: string,
): Result<UpstreamReport, RecordError> {
  return decode(value.length > MAX_RECORD_CHARACTERS ? '' : value, record => {
    const info = fields(record['info'], 'info');
    const status = fields(record['status'], 'status');
    text(info['version'], 'info.version');
    return {
      name: text(name, 'key'),
      bornAt: bornAt(record),
      sequence: wholeNumber(status['seq'], 'status.seq'),
      address: address(record['address']),
      service: text(info['service'], 'info.service'),
      dataCentre: text(info['zone'], 'info.zone'),
      slots: slots(info['slots']),
      leaving: isLeaving(status['state']),
      // How much longer an upstream that has just started is slow.
      coldMs: duration(status['warmup_left'], 'status.warmup_left'),
    };
  });
}

/** Unix time of its start; instances without it are told apart by `seq`. */
function bornAt(record: Fields): Milliseconds | undefined {
  return 'born' in record ? wholeNumber(record['born'], 'born') : undefined;
}

function isLeaving(state: unknown): boolean {
  const leaving = LEAVING_BY_STATE.get(state);
  if (leaving === undefined) {
    const states = [...LEAVING_BY_STATE.keys()].join(' or ');
    throw new RecordError('status.state', `write ${states}`);
  }
  return leaving;
}

function address(value: unknown): string {
  const written = text(value, 'address');
  if (!parseDestination(written)) {
    throw new RecordError('address', 'write IP:PORT');
  }
  return written;
}

function slots(value: unknown): number {
  const parsed = wholeNumber(value, 'info.slots');
  if (parsed === 0) {
    throw new RecordError('info.slots', 'write 1 or more');
  }
  return parsed;
}
