/** Compiles the host program for its starts; the last step of the build. */

import {writeFileSync} from 'node:fs';
import {cachePath, loadProgram} from './code_cache.js';

// Loaded first: what its modules run as they load is compiled by then, and kept.
const {script} = loadProgram(__dirname);
writeFileSync(cachePath(__dirname), script.createCachedData());
