/** Starts an entry host as deployed: one bundle, with the code cache of the build. */

import './early_signals.js';
import {loadProgram} from './code_cache.js';

const {program, isCached} = loadProgram(__dirname);
if (!isCached) {
  process.stderr.write(
    'cyclamenlever: compiled anew, which makes the start slower: ' +
      'build with the Node and the flags that the host runs with\n',
  );
}
void program.runHost();
