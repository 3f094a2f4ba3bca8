/**
 * Loads the host program with V8's code cache from the build.
 *
 * A host restarts under full load, while callers wait. On a quarter of a core, compiling
 * the program without the cache takes a large part of the start.
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
  /** Whether the cache was used: it is valid for one version of Node and its flags. */
  readonly isCached: boolean;
}

/** @param folder output folder of the build */
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
    // Without a cache the program is compiled at its start.
    return undefined;
  }
}
