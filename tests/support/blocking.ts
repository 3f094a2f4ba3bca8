/**
 * Holds the process, hosts included, after a delay: what arrives meanwhile waits unread.
 *
 * @param action runs first
 */
export function blockAfter(
  delayMs: number,
  blockMs: number,
  action: () => void,
): Promise<void> {
  const block = (): void => {
    action();
    const end = performance.now() + blockMs;
    while (performance.now() < end);
  };
  return new Promise(resolve => {
    // After these callbacks, timers that are due come before input.
    setTimeout(() => setImmediate(() => resolve(block())), delayMs);
  });
}
