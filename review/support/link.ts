/** Starts a link between clients and one host; `link.py` tells what it does. */

import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';

export interface Link {
  readonly ip: string;
  readonly port: number;
  readonly process: ChildProcess;
}

/** @param bytesPerMs speed of the link towards the client */
export async function startLink(
  ip: string,
  target: {readonly ip: string; readonly port: number},
  bytesPerMs: number,
): Promise<Link> {
  const words = [ip, target.ip, target.port, bytesPerMs].map(String);
  const child = spawn('python3', ['review/support/link.py', ...words], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  process.once('exit', () => child.kill('SIGKILL'));
  const started = once(child.stdout, 'data');
  const failed = once(child, 'error').then(([error]) => {
    throw error as Error;
  });
  const [chunk] = (await Promise.race([started, failed])) as [Buffer];
  return {ip, port: Number(chunk.toString()), process: child};
}
