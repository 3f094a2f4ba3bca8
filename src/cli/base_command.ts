/** What all subcommands of the command-line tool share. */

import {Command, Option} from 'clipanion';
import type {ControlClient} from '../control/index.js';
import {ControlConnector} from '../control/index.js';
import type {Milliseconds} from '../time/index.js';

/** Exit codes, documented in docs/CLI.md. */
export const EXIT = {
  ok: 0,
  /** The command or its text is wrong. */
  usage: 1,
  /** The change was judged a conflict or invalid: nothing was done. */
  rejected: 2,
  /** The entry host or the log cannot be reached: nothing was done. */
  unavailable: 3,
  /** The outcome is not known, or not yet in force everywhere. */
  unknown: 4,
} as const;

/** Longer than an entry host takes for the slowest change. */
const CALL_TIMEOUT_MS: Milliseconds = 20_000;

export abstract class BaseCommand extends Command {
  readonly host = Option.String('--host', {
    description: 'control address of any entry host, IP:PORT',
    env: 'CYCLAMENLEVER_HOST',
  });
  readonly key = Option.String('--key', {
    description: 'operator key',
    env: 'CYCLAMENLEVER_OPERATOR_KEY',
  });
  readonly json = Option.Boolean('--json', false, {
    description: 'print JSON for programs',
  });

  override async execute(): Promise<number> {
    if (!this.host || !this.key) {
      this.fail(
        'give --host and --key, or CYCLAMENLEVER_HOST and CYCLAMENLEVER_OPERATOR_KEY',
      );
      return EXIT.usage;
    }
    const connector = new ControlConnector();
    try {
      return await this.run(
        connector.client({
          address: this.host,
          key: this.key,
          timeoutMs: CALL_TIMEOUT_MS,
        }),
      );
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this.fail(
        `${this.host} did not answer (${message}): try another entry host`,
      );
      return EXIT.unavailable;
    } finally {
      await connector.close();
    }
  }

  protected abstract run(client: ControlClient): Promise<number>;

  protected print(value: unknown, text: string): void {
    const shown = this.json ? JSON.stringify(value) : text;
    this.context.stdout.write(`${shown.trimEnd()}\n`);
  }

  protected fail(message: string): void {
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({error: message})}\n`);
    } else {
      this.context.stderr.write(`cyclamenlever: ${message}\n`);
    }
  }
}

/** Whoever runs the tool, for the history of changes. */
export function currentUser(): string {
  return process.env['USER'] ?? 'unknown';
}
