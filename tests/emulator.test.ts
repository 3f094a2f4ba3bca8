import {readdirSync} from 'node:fs';
import {expect, test} from 'vitest';
import {DEFAULT_OPTIONS} from '../src/decisions/options/index.js';
import type {Scenario} from '../src/emulator/index.js';
import {emulate, parseScenario, readScenario} from '../src/emulator/index.js';
import type {ServiceModel} from '../src/emulator/scenario.js';
import {EventLoop} from '../src/emulator/event_loop.js';
import {UpstreamModel} from '../src/emulator/upstream_model.js';
import {readPolicy} from '../src/experiment/policies.js';
import {seededRandom} from '../src/time/index.js';

const FILES = readdirSync('scenarios').map(name => `scenarios/${name}`);

function scenarioOf(name: string, seconds: number): Scenario {
  const scenario = readScenario(`scenarios/${name}.toml`)._unsafeUnwrap();
  return {...scenario, seconds};
}

/** A service whose upstreams have neither noisy neighbours nor contention. */
const PLAIN: ServiceModel = {
  name: 's',
  upstreams: [1],
  slots: 1,
  queue: 100_000,
  when_full: 'refuse',
  tells_load: true,
  knee: 1,
  knee_slowness: 1,
  noise_share: 0,
  noise_slowness: 1,
  noise_interval_ms: 1_000,
};

test.each(FILES)('%s can be read', file => {
  expect(readScenario(file).isOk()).toBe(true);
});

test('the error of an invalid scenario names line, field and correction', () => {
  const text = 'name = "x"\nseconds = -1\n';
  const error = parseScenario('x.toml', text)._unsafeUnwrapErr();
  expect(error.message).toMatch(/^x\.toml:2: correct the field seconds/);
  const broken = parseScenario('x.toml', 'name = \n')._unsafeUnwrapErr();
  expect(broken.message).toMatch(/^x\.toml:1: write valid TOML/);
});

test('the error of an invalid policy names the correction', () => {
  expect(readPolicy('asked=2,sharesView=false').isOk()).toBe(true);
  expect(readPolicy('ask=2')._unsafeUnwrapErr().message).toContain('asked');
  expect(readPolicy('asked=x')._unsafeUnwrapErr().message).toContain(
    'a number',
  );
});

test('runs with the same seed are equal, with another seed they differ', () => {
  const scenario = scenarioOf('artists_overload', 3);
  const first = JSON.stringify(emulate(scenario, 4, DEFAULT_OPTIONS));
  expect(JSON.stringify(emulate(scenario, 4, DEFAULT_OPTIONS))).toBe(first);
  expect(JSON.stringify(emulate(scenario, 5, DEFAULT_OPTIONS))).not.toBe(first);
});

test('the mean time at an upstream with one slot agrees with M/M/1', () => {
  // At a load of 0.7 the mean time in the system is 1 / (1 - 0.7) times the
  // work, 333 ms for work of 100 ms.
  const loop = new EventLoop();
  const random = seededRandom(21);
  const upstream = new UpstreamModel('u', 0, PLAIN, loop, random);
  const exponential = (mean: number): number => -mean * Math.log(1 - random());
  const times: number[] = [];
  let busyMs = 0;
  const arrive = (): void => {
    const at = loop.now();
    const workMs = exponential(100);
    busyMs += workMs;
    upstream.accept({
      workMs,
      cancelled: false,
      onEnd: () => times.push(loop.now() - at),
    });
    loop.after(exponential(100 / 0.7), arrive);
  };
  arrive();
  loop.runUntil(6_000_000);
  const mean = times.reduce((sum, ms) => sum + ms, 0) / times.length;
  expect(busyMs / 6_000_000).toBeCloseTo(0.7, 1);
  expect(mean).toBeGreaterThan(300);
  expect(mean).toBeLessThan(370);
});

test('a full upstream refuses requests or never answers them', () => {
  const ends = (['refuse', 'silent'] as const).map(full => {
    const loop = new EventLoop();
    const service = {...PLAIN, queue: 1, when_full: full};
    const random = seededRandom(1);
    const upstream = new UpstreamModel('u', 0, service, loop, random);
    const results: string[] = [];
    for (let i = 0; i < 3; i += 1) {
      upstream.accept({
        workMs: 10,
        cancelled: false,
        onEnd: end => results.push(end),
      });
    }
    loop.runUntil(100);
    return results;
  });
  expect(ends).toEqual([
    ['refused', 'answered', 'answered'],
    ['silent', 'answered', 'answered'],
  ]);
});

test('work that starts beyond the knee takes longer', () => {
  const loop = new EventLoop();
  const service = {...PLAIN, slots: 6, knee: 0.8, knee_slowness: 1.6};
  const upstream = new UpstreamModel('u', 0, service, loop, seededRandom(1));
  const ends: number[] = [];
  for (let i = 0; i < 6; i += 1) {
    upstream.accept({
      workMs: 100,
      cancelled: false,
      onEnd: () => ends.push(loop.now()),
    });
  }
  loop.runUntil(1_000);
  expect(ends.map(Math.round)).toEqual([100, 100, 100, 100, 160, 160]);
});
