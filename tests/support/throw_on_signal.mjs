/** Throws outside of all handlers of the program when the process gets SIGUSR2. */

import process from 'node:process';

process.on('SIGUSR2', () => {
  throw new Error('injected');
});
