/** Collects errors that would end a process of its own. */

export class UncaughtErrors {
  readonly all: unknown[] = [];

  constructor() {
    process.on('uncaughtExceptionMonitor', this.note);
  }

  stop(): void {
    process.off('uncaughtExceptionMonitor', this.note);
  }

  private readonly note = (error: unknown): void => {
    this.all.push(error);
  };
}
