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

test('a declared service answers through the entry host', async () => {
  const answer = await request(`http://${host.caller}/bundles/7?size=2`, {
    headers: {host: 'listings'},
  });
  expect(answer.statusCode).toBe(200);
  expect(await answer.body.text()).toBe(
    expectedDigest('GET', '/bundles/7?size=2', ''),
  );
});

test('a body arrives whole and the answer belongs to it', async () => {
  const body = 'bundle '.repeat(40_000);
  const answer = await request(`http://${host.caller}/collections`, {
    method: 'POST',
    headers: {host: 'listings'},
    body,
  });
  expect(await answer.body.text()).toBe(
    expectedDigest('POST', '/collections', body),
  );
});

test('an unknown host name is answered as not run', async () => {
  const answer = await request(`http://${host.caller}/`, {
    headers: {host: 'nobody'},
  });
  expect(answer.statusCode).toBe(404);
  expect(answer.headers['cyclamenlever-outcome']).toBe('not-run');
  expect(await answer.body.json()).toMatchObject({outcome: 'not-run'});
});

test('a stopped host has nothing left open', async () => {
  await host.host.stop();
  expect(host.host.openResources).toEqual([]);
});
