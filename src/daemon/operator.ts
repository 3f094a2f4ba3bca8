/** What operators ask of this host, carried out for the whole fleet. */

import {randomUUID} from 'node:crypto';
import {Result, err, ok} from 'neverthrow';
import type {CommandError, Draft} from '../commands/index.js';
import {
  exportDeclaration,
  interpretCommands,
  interpretDeclaration,
  revert,
} from '../commands/index.js';
import type {LogFollower} from '../configuration/index.js';
import type {
  ChangeReport,
  ChangeRequest,
  OperatorError,
  OperatorService,
  PlanReport,
  QueryReport,
} from '../control/index.js';
import type {Change, Offset} from '../decisions/configuration/index.js';
import type {ReplicationWatermark} from '../decisions/membership/index.js';
import type {QueryStatement} from '../language/index.js';
import {parseProgram} from '../language/index.js';
import type {Fleet} from '../peers/index.js';
import type {HostDescription} from '../queries/index.js';
import {QUERIES} from '../queries/index.js';
import type {Clock, Milliseconds} from '../time/index.js';

/** A change that is not in force by then is reported as it stands. */
const IN_FORCE_TIMEOUT_MS: Milliseconds = 5_000;
const SUBMIT_TIMEOUT_MS: Milliseconds = 10_000;
const WATERMARK_POLL_MS: Milliseconds = 25;

export class Operator implements OperatorService {
  constructor(
    private readonly follower: LogFollower,
    private readonly fleet: Fleet,
    private readonly describeSelf: () => HostDescription,
    private readonly clock: Clock,
  ) {}

  async query(text: string): Promise<QueryReport> {
    const parsed = parseQuery(text);
    if (parsed.isErr()) {
      return {kind: 'failed', error: parsed.error};
    }
    const statement = parsed.value;
    const query = QUERIES[statement.subject];
    const {hosts, unanswered} = query.queriesHosts
      ? await this.askHosts()
      : {hosts: [], unanswered: []};
    const {store} = this.follower;
    const table = query.perform(
      {view: store, history: store.history(), hosts},
      statement,
    );
    return {kind: 'table', table, unanswered};
  }

  plan(request: ChangeRequest): PlanReport {
    return this.draft(request).match(
      (draft): PlanReport => ({kind: 'plan', writes: draft.writes()}),
      error => ({kind: 'failed', error}),
    );
  }

  async change(request: ChangeRequest): Promise<ChangeReport> {
    const draft = this.draft(request);
    if (draft.isErr()) {
      return {kind: 'failed', error: draft.error};
    }
    const {author, note} = request;
    const id = randomUUID();
    return this.submit(draft.value.toChange({id, author, note}));
  }

  async rollback(id: string, author: string): Promise<ChangeReport> {
    const {store} = this.follower;
    const judged = store.history().find(one => one.change.id === id);
    if (judged?.verdict.kind !== 'accepted') {
      return {
        kind: 'failed',
        error: {
          kind: 'no-such-change',
          message: `no accepted change ${id} is remembered: see show changes.`,
        },
      };
    }
    const note = `rollback of ${id}`;
    const header = {id: randomUUID(), author, note};
    return this.submit(revert(store, judged).toChange(header));
  }

  exportDeclaration(): string {
    return exportDeclaration(this.follower.store);
  }

  private draft(request: ChangeRequest): Result<Draft, OperatorError> {
    const {store} = this.follower;
    const interpret = request.declaration
      ? interpretDeclaration
      : interpretCommands;
    return parseProgram(request.text)
      .mapErr((error): OperatorError => ({
        kind: 'syntax',
        message: error.message,
      }))
      .andThen(statements =>
        interpret(store, statements).mapErr(
          (error: CommandError): OperatorError => ({
            kind: 'command',
            message: error.message,
          }),
        ),
      );
  }

  private async submit(change: Change): Promise<ChangeReport> {
    if (change.writes.length === 0) {
      return {kind: 'unchanged'};
    }
    const submission = await this.follower.submit(change, SUBMIT_TIMEOUT_MS);
    switch (submission.kind) {
      case 'refused':
        return {
          kind: 'failed',
          error: {
            kind: 'log-unavailable',
            message: `the platform's log refused the change (${submission.message}): nothing was done, try again later.`,
          },
        };
      case 'unknown':
        return {
          kind: 'failed',
          error: {
            kind: 'outcome-unknown',
            message: `the log did not say whether change ${change.id} was recorded: look for it with show change ${change.id} before trying again.`,
          },
        };
      case 'judged': {
        const {verdict} = submission;
        const watermark =
          verdict.kind === 'accepted'
            ? await this.awaitInForce(verdict.offset)
            : undefined;
        return {kind: 'judged', id: change.id, verdict, watermark};
      }
      default:
        return submission satisfies never;
    }
  }

  /** Waits until a majority has the change and nobody ready is behind. */
  private async awaitInForce(offset: Offset): Promise<ReplicationWatermark> {
    const until = this.clock.now() + IN_FORCE_TIMEOUT_MS;
    for (;;) {
      const watermark = this.fleet.watermark(offset);
      const majority = watermark.inForce * 2 > watermark.seats;
      const done = majority && watermark.behind.length === 0;
      if (done || this.clock.now() > until) {
        return watermark;
      }
      await new Promise(resolve => setTimeout(resolve, WATERMARK_POLL_MS));
      await this.fleet.pollPeersBehind(offset);
    }
  }

  private async askHosts(): Promise<HostAnswers> {
    const peers = this.fleet.peers.alive(this.clock.now());
    const answers = await Promise.all(
      peers.map(async ({statement}) => {
        try {
          const client = this.fleet.clientOf(statement.controlAddress);
          return ok<HostDescription, string>(await client.describe.query());
        } catch {
          return err<HostDescription, string>(statement.host);
        }
      }),
    );
    return {
      hosts: [
        this.describeSelf(),
        ...answers.flatMap(answer => (answer.isOk() ? [answer.value] : [])),
      ],
      unanswered: answers.flatMap(answer =>
        answer.isErr() ? [answer.error] : [],
      ),
    };
  }
}

interface HostAnswers {
  readonly hosts: readonly HostDescription[];
  readonly unanswered: readonly string[];
}

function parseQuery(text: string): Result<QueryStatement, OperatorError> {
  return parseProgram(text)
    .mapErr((error): OperatorError => ({
      kind: 'syntax',
      message: error.message,
    }))
    .andThen(([statement, ...rest]) =>
      statement?.verb === 'show' && rest.length === 0
        ? ok(statement)
        : err<QueryStatement, OperatorError>({
            kind: 'syntax',
            message: 'give one query, such as: show services',
          }),
    );
}
