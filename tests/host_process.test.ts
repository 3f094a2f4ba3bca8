import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'host-'));
});

afterEach(() => rmSync(folder, {recursive: true}));

function start(settings: string | undefined): {code: number; told: string} {
  const path = join(folder, 'settings');
  if (settings !== undefined) {
    writeFileSync(path, settings);
  }
  const env = {...process.env, CYCLAMENLEVER_SETTINGS: path};
  const run = spawnSync(process.execPath, ['dist/host/main.js'], {env});
  return {code: run.status ?? -1, told: run.stderr.toString()};
}

test('a host without a settings file ends with code 2 and a remedy', () => {
  const {code, told} = start(undefined);
  expect(code).toBe(2);
  expect(told).toContain('make it readable');
});

test('a host with a bad settings file ends with code 2 and names the field', () => {
  const {code, told} = start('self.ip=10.0.0.1\nself.node=x\n');
  expect(code).toBe(2);
  expect(told).toContain('settings field');
});

test('a host whose port is taken ends with code 3 and a remedy', async () => {
  const taken = createServer();
  await new Promise<void>(resolve => taken.listen(0, '127.0.0.1', resolve));
  const {port} = taken.address() as AddressInfo;
  const {code, told} = start(
    [
      'self.node=entry-1',
      'self.ip=127.0.0.1',
      'self.zone=east',
      `network.listen.front=127.0.0.1:${port}`,
      'network.listen.ready=127.0.0.1:0',
      'network.internal_ports=0,0',
      'platform.platform.address=127.0.0.1:1',
    ].join('\n'),
  );
  taken.close();
  expect(code).toBe(3);
  expect(told).toContain('end what holds the address');
});
