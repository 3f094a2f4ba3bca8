/** Owns what must be closed, and closes it in reverse order. */

import type {Logger} from 'pino';

interface Resource {
  readonly name: string;
  readonly close: () => Promise<void> | void;
}

export class ResourceStack {
  private readonly resources: Resource[] = [];
  private closing: Promise<void> | undefined;

  constructor(private readonly logger: Logger) {}

  /** Names of the resources still open. */
  get openNames(): readonly string[] {
    return this.resources.map(({name}) => name);
  }

  /** Takes charge of a resource and hands it back. */
  adopt<T>(
    name: string,
    value: T,
    close: (value: T) => Promise<void> | void,
  ): T {
    this.resources.push({name, close: () => close(value)});
    return value;
  }

  /**
   * Closes everything, last first. One that fails to close doesn't keep the
   * others open. Calling it again waits for the first call.
   */
  close(): Promise<void> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<void> {
    for (;;) {
      const resource = this.resources.pop();
      if (!resource) {
        return;
      }
      try {
        await resource.close();
      } catch (error) {
        this.logger.error({resource: resource.name, error}, 'cannot close');
      }
    }
  }
}
