/** The remote procedures of an entry host, for peers and for operators. */

import {TRPCError, initTRPC} from '@trpc/server';
import {z} from 'zod';
import {wireStatementSchema} from './wire_statement.js';
import type {
  ChangeReport,
  ExchangeMessage,
  OperatorService,
  PeerService,
  PlanReport,
  QueryReport,
} from './types.js';

/** Which key a call presents. */
export type Credential = 'fleet' | 'operator' | 'none';

export interface ControlContext {
  readonly credential: Credential;
}

const trpc = initTRPC.context<ControlContext>().create();

/** A procedure that requires the given key. */
function procedureFor(needed: Credential) {
  return trpc.procedure.use(({ctx, next}) => {
    if (ctx.credential !== needed) {
      throw new TRPCError({
        code: 'UNAUTHORIZED',
        message: `present the ${needed} key in the ${KEY_HEADER} header`,
      });
    }
    return next();
  });
}

export const KEY_HEADER = 'x-cyclamenlever-key';

const exchangeSchema = z.object({
  protocol: z.number(),
  statements: z.array(wireStatementSchema).max(1_000).readonly(),
});

const changeRequestSchema = z.object({
  text: z.string(),
  author: z.string(),
  note: z.string(),
  declaration: z.boolean(),
});

// Clients derive their types from the inferred router type.
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function createRouter(peers: PeerService, operators: OperatorService) {
  const peer = procedureFor('fleet');
  const operator = procedureFor('operator');
  return trpc.router({
    exchange: peer
      .input(exchangeSchema)
      .mutation(({input}): ExchangeMessage => peers.exchange(input)),
    snapshot: peer.query(() => peers.snapshot()),
    describe: peer.query(() => peers.describe()),
    query: operator
      .input(z.string())
      .query(({input}): Promise<QueryReport> => operators.query(input)),
    plan: operator
      .input(changeRequestSchema)
      .query(({input}): PlanReport => operators.plan(input)),
    change: operator
      .input(changeRequestSchema)
      .mutation(({input}): Promise<ChangeReport> => operators.change(input)),
    rollback: operator
      .input(z.object({id: z.string(), author: z.string()}))
      .mutation(({input}): Promise<ChangeReport> =>
        operators.rollback(input.id, input.author),
      ),
    exportDeclaration: operator.query(() => operators.exportDeclaration()),
  });
}

export type ControlRouter = ReturnType<typeof createRouter>;
