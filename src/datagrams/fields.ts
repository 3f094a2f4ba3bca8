/** Checks of single fields that datagrams of all kinds share. */

/** Names of hosts, lives and fingerprints are shorter: nobody fills a host's memory. */
const MAX_NAME_LENGTH = 128;

export function isName(value: unknown): value is string {
  return (
    typeof value === 'string' && value !== '' && value.length <= MAX_NAME_LENGTH
  );
}

/** A time, or an age, in ms. */
export function isTime(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
