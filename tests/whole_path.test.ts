import {request} from 'undici';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {expectedDigest} from '../src/standins/index.js';
import {TestSystem, type TestHost} from './support/system.js';

let system: TestSystem;
let host: TestHost;

beforeEach(async () => {
  system = new TestSystem();
  host = await system.startHost('entry-1');
  const address = await system.startUpstream('one');
  await system.applyCommands(
    host,
    `create service listings
     create upstream one of listings at ${address} in galway-east
     create rule browse of listings method GET path /bundles/* kind repeatable`,
  );
});

afterEach(() => system.close());

test('a configured service responds through the entry host', async () => {
  const response = await request(`http://${host.caller}/bundles/7?size=2`, {
    headers: {host: 'listings'},
  });
  expect(response.statusCode).toBe(200);
  expect(await response.body.text()).toBe(
    expectedDigest('GET', '/bundles/7?size=2', ''),
  );
});

test('a request body arrives complete and gets its own response', async () => {
  const body = 'bundle '.repeat(40_000);
  const response = await request(`http://${host.caller}/collections`, {
    method: 'POST',
    headers: {host: 'listings'},
    body,
  });
  expect(await response.body.text()).toBe(
    expectedDigest('POST', '/collections', body),
  );
});

test('a request with an unknown Host header gets the outcome not-run', async () => {
  const response = await request(`http://${host.caller}/`, {
    headers: {host: 'nobody'},
  });
  expect(response.statusCode).toBe(404);
  expect(response.headers['cyclamenlever-outcome']).toBe('not-run');
  expect(await response.body.json()).toMatchObject({outcome: 'not-run'});
});

test('a stopped host has no open resources', async () => {
  await host.host.stop();
  expect(host.host.openResources).toEqual([]);
});
