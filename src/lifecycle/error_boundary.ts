/**
 * Contains the errors of one unit of work, such as a request, a probe or a tunnel.
 *
 * Node ends the process when a listener, a timer or a promise fails and nobody catches the
 * error, and with it all other units. Whatever a unit listens to, it listens to through its
 * boundary, which passes errors to the owner of the unit.
 */

import type {EventEmitter} from 'node:events';

/** Ends the unit in which the error occurred. */
export type ErrorHandler = (error: unknown) => void;

/** `never` accepts listeners of any arguments: the emitter decides what it passes. */
type Listener = (...values: never[]) => unknown;

export class ErrorBoundary {
  constructor(private readonly onError: ErrorHandler) {}

  /** Runs one step of the unit, and waits for its promise if it returns one. */
  run(step: () => unknown): void {
    try {
      const result = step();
      if (result instanceof Promise) {
        result.catch(this.onError);
      }
    } catch (error) {
      this.onError(error);
    }
  }

  /** Makes a callback, such as that of a timer, run within the boundary. */
  wrap<Values extends readonly unknown[]>(
    callback: (...values: Values) => unknown,
  ): (...values: Values) => void {
    return (...values) => this.run(() => callback(...values));
  }

  /** @returns function that stops listening */
  listen(emitter: EventEmitter, event: string, listener: Listener): () => void {
    const wrapped = this.wrapListener(listener);
    emitter.on(event, wrapped);
    return () => emitter.off(event, wrapped);
  }

  /** Listens to the next event only; returns a function that stops this. */
  listenOnce(
    emitter: EventEmitter,
    event: string,
    listener: Listener,
  ): () => void {
    const wrapped = this.wrapListener(listener);
    emitter.once(event, wrapped);
    return () => emitter.off(event, wrapped);
  }

  /** Listens before all that listen already. */
  listenFirst(emitter: EventEmitter, event: string, listener: Listener): void {
    emitter.prependListener(event, this.wrapListener(listener));
  }

  private wrapListener(listener: Listener): (...values: unknown[]) => void {
    return this.wrap(listener as (...values: unknown[]) => unknown);
  }
}
