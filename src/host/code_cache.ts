/**
 * Loads the host program with the code that was compiled at the build.
 *
 * A host starts again into full load, and callers wait meanwhile. On a quarter of a
 * core compiling the program anew is a large part of that time.
 */

import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {join} from 'node:path';
import {Script} from 'node:vm';

const PROGRAM_FILE = 'program.cjs';
const CACHE_FILE = 'program.cache';

export interface CompiledProgram {
  readonly runHost: () => Promise<void>;
}

export interface LoadedProgram {
  readonly program: CompiledProgram;
  readonly script: Script;
  /** Whether the code from the build was used: it holds for one Node and its flags. */
  readonly isCached: boolean;
}

/** @param folder that the build writes to */
export function loadProgram(folder: string): LoadedProgram {
  const filename = join(folder, PROGRAM_FILE);
  const source = readFileSync(filename, 'utf8');
  const cachedData = readCache(folder);
  const script = new Script(`(function(exports,require,module){${source}\n})`, {
    filename,
    cachedData,
  });
  const module = {exports: {} as CompiledProgram};
  const run = script.runInThisContext() as (...given: unknown[]) => void;
  run(module.exports, createRequire(filename), module);
  return {
    program: module.exports,
    script,
    isCached: cachedData !== undefined && script.cachedDataRejected === false,
  };
}

export function cachePath(folder: string): string {
  return join(folder, CACHE_FILE);
}

function readCache(folder: string): Buffer | undefined {
  try {
    return readFileSync(cachePath(folder));
  } catch {
    // The build has written none: the program is compiled as it starts.
    return undefined;
  }
}
