import type {Milliseconds} from './clock.js';

/**
 * Resolves after a delay, with a timer that doesn't keep the process alive.
 *
 * @param signal ends the wait early
 */
export function sleep(ms: Milliseconds, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    const end = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', end);
      resolve();
    };
    const timer = setTimeout(end, Math.max(0, ms));
    timer.unref();
    signal?.addEventListener('abort', end);
  });
}
