import type {Milliseconds} from './clock.js';

/** After a longer turn of the event loop, more may have arrived since it polled. */
const MAX_TURN_MS: Milliseconds = 20;
const MAX_TURNS = 10;

/**
 * Resolves once the event loop has polled for input and read it. Timers that are due
 * run before what has arrived is read: after a process was paused, an open connection
 * may look idle to them while a whole request waits in its buffer.
 */
export async function nextPoll(): Promise<void> {
  // From a listener, this turn ends before the loop polls again.
  await endOfTurn();
  for (let turn = 0; turn < MAX_TURNS; turn += 1) {
    const startedAt = performance.now();
    await endOfTurn();
    if (performance.now() - startedAt <= MAX_TURN_MS) {
      return;
    }
  }
}

function endOfTurn(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}
