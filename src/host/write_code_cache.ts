/** Writes V8's code cache of the host program; the last step of the build. */

import {writeFileSync} from 'node:fs';
import {cachePath, loadProgram} from './code_cache.js';

// The program is loaded first, so that the cache has the functions that run at load.
const {script} = loadProgram(__dirname);
writeFileSync(cachePath(__dirname), script.createCachedData());
