import {connect} from 'node:net';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {ReportingUpstream} from '../src/standins/index.js';
import {until} from './support/gateway.js';

let upstream: ReportingUpstream;

beforeEach(async () => {
  upstream = new ReportingUpstream('i-1');
  await upstream.listen();
});

afterEach(() => upstream.close());

test('ignores empty lines before a request', async () => {
  // A host and a proxy each write an empty line after a response without
  // Content-Length; the upstream must not parse them as requests.
  const port = Number(upstream.address.split(':')[1]);
  const socket = connect(port, '127.0.0.1');
  socket.write('\r\n');
  socket.write('\r\n\r\nGET /lookup/1 HTTP/1.1\r\nHost: a\r\n\r\n');
  await until(() => upstream.runs.length > 0);
  expect(upstream.runs.map(({target}) => target)).toEqual(['/lookup/1']);
  socket.destroy();
});
