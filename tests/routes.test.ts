import {expect, test} from 'vitest';
import type {Route, RouteTable} from '../src/decisions/routes/index.js';
import {RouteIndex, TrafficSplit} from '../src/decisions/routes/index.js';
import {seededRandom} from '../src/time/index.js';

const LIMITS = {headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1};

function route(prefix: string, overrides: Partial<Route> = {}): Route {
  return {
    name: prefix,
    host: 'shop.example',
    prefix,
    repeatable: true,
    timeoutMs: 1_000,
    targetMs: 500,
    rank: 0,
    attempts: 2,
    destinations: [{service: 's', weight: 1}],
    isPublic: false,
    hasLargeResponses: false,
    ...overrides,
  };
}

function table(version: number, ...prefixes: string[]): RouteTable {
  const routes = prefixes.map(prefix => route(prefix));
  return {version, routes, services: [], customers: [], limits: LIMITS};
}

test('the longest matching prefix wins', () => {
  const routeIndex = new RouteIndex();
  routeIndex.applyIfNewer(table(1, '/', '/a/', '/a/b/'));
  expect(routeIndex.find('shop.example:80', '/a/b/c?x=/y/')?.prefix).toBe(
    '/a/b/',
  );
  expect(routeIndex.find('SHOP.example', '/a/bc')?.prefix).toBe('/a/');
  expect(routeIndex.find('shop.example', '/a')?.prefix).toBe('/');
});

// Guards against a 404 for the absolute form of a host name (RFC 3986, 3.2.2).
test.each(['shop.example.', 'shop.example.:80', 'SHOP.EXAMPLE.'])(
  'a route matches the host name %s',
  host => {
    const routeIndex = new RouteIndex();
    routeIndex.applyIfNewer(table(1, '/a/'));
    expect(routeIndex.find(host, '/a/1')?.prefix).toBe('/a/');
  },
);

test('a route does not match other host names', () => {
  const routeIndex = new RouteIndex();
  routeIndex.applyIfNewer(table(1, '/a/'));
  expect(routeIndex.find('other.example', '/a/1')).toBeUndefined();
  expect(routeIndex.find('shop.example', '/b/1')).toBeUndefined();
});

// Guards against a 404 of which nobody can tell whether the host lacked the route.
test('a miss tells apart host names, prefixes and removed routes', () => {
  const routeIndex = new RouteIndex();
  routeIndex.applyIfNewer(table(1, '/a/', '/b/'));
  routeIndex.applyIfNewer(table(4, '/a/'));
  expect(routeIndex.explainMiss('other.example', '/a/1')).toEqual({
    kind: 'no-route-for-host',
  });
  expect(routeIndex.explainMiss('shop.example', '/c/1')).toEqual({
    kind: 'no-matching-prefix',
  });
  expect(routeIndex.explainMiss('SHOP.example:80', '/b/c/1?d=/e/')).toEqual({
    kind: 'route-removed',
    version: 4,
  });
  routeIndex.applyIfNewer(table(5, '/b/'));
  routeIndex.applyIfNewer(table(6, '/c/'));
  expect(routeIndex.explainMiss('shop.example', '/b/1')).toEqual({
    kind: 'route-removed',
    version: 6,
  });
});

test('an older configuration never replaces a newer one', () => {
  // A host resumes after a freeze and first gets an update from a lagging peer. With the
  // older configuration it would send requests where the operator has stopped them.
  const routeIndex = new RouteIndex();
  expect(routeIndex.applyIfNewer(table(8, '/new/'))).toBe(true);
  expect(routeIndex.applyIfNewer(table(6, '/old/'))).toBe(false);
  expect(routeIndex.applyIfNewer(table(8, '/other/'))).toBe(false);
  expect(routeIndex.find('shop.example', '/old/1')).toBeUndefined();
  expect(routeIndex.version).toBe(8);
});

test('a split matches its weights over a few hundred requests', () => {
  const split = new TrafficSplit(seededRandom(1));
  const splitRoute = route('/a/', {
    destinations: [
      {service: 'big', weight: 70},
      {service: 'small', weight: 30},
    ],
  });
  const chosen = Array.from({length: 300}, () => split.next(splitRoute));
  const small = chosen.filter(service => service === 'small').length;
  expect(small / chosen.length).toBeCloseTo(0.3, 1);
});

test('hosts do not all start a split with the same service', () => {
  const splitRoute = route('/a/', {
    destinations: [
      {service: 'one', weight: 50},
      {service: 'two', weight: 50},
    ],
  });
  const firsts = Array.from({length: 40}, (_, seed) =>
    new TrafficSplit(seededRandom(seed)).next(splitRoute),
  );
  expect(new Set(firsts).size).toBe(2);
});
