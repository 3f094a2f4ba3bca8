/** Converts change reports to text and exit codes. */

import type {ChangeReport, OperatorError} from '../control/index.js';
import {describeVerdict} from '../queries/index.js';
import {EXIT} from './base_command.js';

const ERROR_EXITS: Readonly<Record<OperatorError['kind'], number>> = {
  syntax: EXIT.usage,
  command: EXIT.usage,
  'no-such-change': EXIT.usage,
  'log-unavailable': EXIT.unavailable,
  'outcome-unknown': EXIT.unknown,
};

export interface ReportedChange {
  readonly exit: number;
  readonly text: string;
}

export function reportChange(report: ChangeReport): ReportedChange {
  switch (report.kind) {
    case 'unchanged':
      return {exit: EXIT.ok, text: 'nothing to change'};
    case 'failed':
      return {exit: ERROR_EXITS[report.error.kind], text: report.error.message};
    case 'judged':
      return reportVerdict(report);
    default:
      return report satisfies never;
  }
}

function reportVerdict(
  report: Extract<ChangeReport, {kind: 'judged'}>,
): ReportedChange {
  const {id, verdict, watermark} = report;
  if (verdict.kind !== 'accepted') {
    const text = `change ${id}: ${describeVerdict(verdict)}. ${verdict.remedy}`;
    return {exit: EXIT.rejected, text};
  }
  if (!watermark) {
    return {exit: EXIT.ok, text: `change ${id}: accepted`};
  }
  const {inForce, seats, behind} = watermark;
  const text = `change ${id}: accepted, in force on ${inForce} of ${seats} entry hosts`;
  if (inForce * 2 > seats && behind.length === 0) {
    return {exit: EXIT.ok, text};
  }
  const waiting = behind.length > 0 ? `; behind: ${behind.join(', ')}` : '';
  return {exit: EXIT.unknown, text: `${text}${waiting}`};
}
