import {expect, test} from 'vitest';
import type {Route, RouteTable} from '../src/decisions/routes/index.js';
import {RouteIndex, TrafficSplit} from '../src/decisions/routes/index.js';
import {seededRandom} from '../src/time/index.js';

const LIMITS = {headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1};

function route(prefix: string, more: Partial<Route> = {}): Route {
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
    ...more,
  };
}

function table(version: number, ...prefixes: string[]): RouteTable {
  const routes = prefixes.map(prefix => route(prefix));
  return {version, routes, services: [], limits: LIMITS};
}

test('the longest prefix that begins the path wins', () => {
  const book = new RouteIndex();
  book.applyIfNewer(table(1, '/', '/a/', '/a/b/'));
  expect(book.find('shop.example:80', '/a/b/c?x=/y/')?.prefix).toBe('/a/b/');
  expect(book.find('SHOP.example', '/a/bc')?.prefix).toBe('/a/');
  expect(book.find('shop.example', '/a')?.prefix).toBe('/');
});

test('no route matches another host', () => {
  const book = new RouteIndex();
  book.applyIfNewer(table(1, '/a/'));
  expect(book.find('other.example', '/a/1')).toBeUndefined();
  expect(book.find('shop.example', '/b/1')).toBeUndefined();
});

test('an older configuration never replaces a newer one', () => {
  // A host wakes from a freeze and hears first from a peer that lags. Taking
  // the older configuration would send requests to where the operator had
  // stopped them.
  const book = new RouteIndex();
  expect(book.applyIfNewer(table(8, '/new/'))).toBe(true);
  expect(book.applyIfNewer(table(6, '/old/'))).toBe(false);
  expect(book.applyIfNewer(table(8, '/other/'))).toBe(false);
  expect(book.find('shop.example', '/old/1')).toBeUndefined();
  expect(book.version).toBe(8);
});

test('a split keeps its weights over a few hundred requests', () => {
  const split = new TrafficSplit(seededRandom(1));
  const parted = route('/a/', {
    destinations: [
      {service: 'big', weight: 70},
      {service: 'small', weight: 30},
    ],
  });
  const chosen = Array.from({length: 300}, () => split.next(parted));
  const small = chosen.filter(service => service === 'small').length;
  expect(small / chosen.length).toBeCloseTo(0.3, 1);
});

test('hosts do not all begin a split with the same service', () => {
  const parted = route('/a/', {
    destinations: [
      {service: 'one', weight: 50},
      {service: 'two', weight: 50},
    ],
  });
  const firsts = Array.from({length: 40}, (_, seed) =>
    new TrafficSplit(seededRandom(seed)).next(parted),
  );
  expect(new Set(firsts).size).toBe(2);
});
