#!/usr/bin/env node
/** The operators' command-line tool: `cyclamenlever`. */

import {Builtins, Cli} from 'clipanion';
import {AccountCommand} from './account_command.js';
import {
  ApplyCommand,
  ExportCommand,
  HistoryCommand,
  PlanCommand,
  RollbackCommand,
  RunCommand,
} from './change_commands.js';
import {CustomersCommand} from './customers_command.js';
import {ExplainCommand} from './explain_command.js';
import {QuarantineCommand} from './quarantine_command.js';
import {ShowCommand} from './show_command.js';

const cli = new Cli({
  binaryName: 'cyclamenlever',
  binaryLabel: 'Cyclamenlever',
  binaryVersion: '0.1.0',
});
const COMMANDS = [
  ShowCommand,
  ExplainCommand,
  AccountCommand,
  CustomersCommand,
  QuarantineCommand,
  RunCommand,
  PlanCommand,
  ApplyCommand,
  ExportCommand,
  HistoryCommand,
  RollbackCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];
COMMANDS.forEach(command => cli.register(command));
await cli.runExit(process.argv.slice(2));
