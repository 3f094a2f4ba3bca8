/** Writes what was sent, answered and run, with times since the start of the script. */

import {writeFileSync} from 'node:fs';

export class Record {
  private readonly startedAt = performance.now();
  private readonly lines: string[] = [];

  get nowMs(): number {
    return performance.now() - this.startedAt;
  }

  note(line: string): void {
    this.lines.push(`${(this.nowMs / 1000).toFixed(3)} ${line}`);
  }

  /** Prints a line as well. */
  tell(line: string): void {
    this.note(line);
    process.stdout.write(`${line}\n`);
  }

  write(path: string): void {
    writeFileSync(path, `${this.lines.join('\n')}\n`);
  }
}
