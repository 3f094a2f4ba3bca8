import {readFile} from 'node:fs/promises';
import {expect, test} from 'vitest';
import {SETTINGS, readSettings, variableOf} from '../src/settings/index.js';

const VALID = [
  ['--host-id', 'a', '--data-centre', 'x'],
  ['--log-url', 'http://127.0.0.1:1', '--host-list-url', 'http://127.0.0.1:1'],
  ['--fleet-key', 'k'.repeat(16), '--operator-key', 'o'.repeat(16)],
].flat();

function errorOf(
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): string {
  return readSettings(args, environment)._unsafeUnwrapErr().message;
}

test('flags override the environment', () => {
  const read = (args: readonly string[]): number =>
    readSettings(args, {CYCLAMENLEVER_LEASE_MS: '7000'})._unsafeUnwrap()[
      'lease-ms'
    ];
  expect(read(VALID)).toBe(7_000);
  expect(read([...VALID, '--lease-ms', '9000'])).toBe(9_000);
});

test('a missing setting is named with its flag and variable', () => {
  const message = errorOf(VALID.slice(2));
  expect(message).toContain('--host-id');
  expect(message).toContain('CYCLAMENLEVER_HOST_ID');
});

test('an error shows an invalid value and a remedy, but no key', () => {
  expect(errorOf([...VALID, '--lease-ms', 'soon'])).toMatch(
    /--lease-ms .*"soon".*set it to/,
  );
  const message = errorOf([...VALID, '--fleet-key', 'short-secret']);
  expect(message).toContain('--fleet-key');
  expect(message).not.toContain('short-secret');
});

test('the error for a misspelt flag names the nearest one', () => {
  expect(errorOf([...VALID, '--leese-ms', '5'])).toContain('--lease-ms');
});

test('keys do not leave the host unencrypted unless a setting allows it', () => {
  const open = [...VALID, '--control-address', '10.0.0.1:8081'];
  expect(errorOf(open)).toContain('--allow-plaintext');
  const allowed = readSettings([...open, '--allow-plaintext', 'true'], {});
  expect(allowed.isOk()).toBe(true);
});

test('every setting is documented in docs/SETTINGS.md', async () => {
  const page = await readFile('docs/SETTINGS.md', 'utf8');
  for (const {name} of SETTINGS) {
    expect(page).toContain(`\`--${name}\``);
    expect(page).toContain(variableOf(name));
  }
});
