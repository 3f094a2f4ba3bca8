/** The stand-alone log and host-list services over HTTP. */

import {Result, err, ok} from 'neverthrow';
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {Offset} from '../decisions/configuration/index.js';
import type {Milliseconds} from '../time/index.js';
import type {
  HostList,
  ListedHost,
  LogFailure,
  LogPage,
  LogService,
} from './types.js';

const RESPONSE_TIMEOUT_MS: Milliseconds = 2_000;

const pageSchema = z.object({
  records: z.array(
    z.object({
      offset: z.number().int(),
      appendedAt: z.number(),
      body: z.string(),
    }),
  ),
  first: z.number().int(),
  end: z.number().int(),
});
const appendedSchema = z.object({offset: z.number().int()});
const hostsSchema = z.array(
  z.object({address: z.string(), state: z.enum(['live', 'leaving'])}),
);

/** Told of the bytes exchanged, for the control budget. */
export type ByteCounter = (sent: number, received: number) => void;

interface HttpCall<T> {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly body?: string;
  readonly timeoutMs: Milliseconds;
  readonly signal?: AbortSignal;
  readonly schema: z.ZodType<T>;
}

export class HttpLogService implements LogService, HostList {
  private readonly agent = new Agent({connections: 4, pipelining: 1});

  constructor(
    /** Base URL of the log service, with an IP number. */
    private readonly logUrl: string,
    private readonly hostListUrl: string,
    private readonly countBytes: ByteCounter = () => undefined,
  ) {}

  async append(body: string): Promise<Result<Offset, LogFailure>> {
    const result = await this.call({
      method: 'POST',
      url: `${this.logUrl}/append`,
      body,
      timeoutMs: RESPONSE_TIMEOUT_MS,
      schema: appendedSchema,
    });
    return result.map(({offset}) => offset);
  }

  read(
    from: Offset,
    limit: number,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<Result<LogPage, LogFailure>> {
    return this.call({
      method: 'GET',
      url: `${this.logUrl}/read?from=${from}&limit=${limit}&wait=${waitMs}`,
      timeoutMs: RESPONSE_TIMEOUT_MS + waitMs,
      signal,
      schema: pageSchema,
    });
  }

  list(): Promise<Result<readonly ListedHost[], LogFailure>> {
    return this.call({
      method: 'GET',
      url: `${this.hostListUrl}/hosts`,
      timeoutMs: RESPONSE_TIMEOUT_MS,
      schema: hostsSchema,
    });
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  /**
   * A request that got no answer may have taken effect all the same: that is
   * `unknown`, and only an answer that says so is `refused`.
   */
  private async call<T>(call: HttpCall<T>): Promise<Result<T, LogFailure>> {
    const timeout = AbortSignal.timeout(call.timeoutMs);
    const signal = call.signal
      ? AbortSignal.any([timeout, call.signal])
      : timeout;
    try {
      const answer = await request(call.url, {
        method: call.method,
        body: call.body,
        dispatcher: this.agent,
        signal,
      });
      const text = await answer.body.text();
      this.countBytes(call.body?.length ?? 0, text.length);
      if (answer.statusCode !== 200) {
        return err({kind: 'refused', message: `status ${answer.statusCode}`});
      }
      const parsed = call.schema.safeParse(JSON.parse(text));
      return parsed.success
        ? ok(parsed.data)
        : err({kind: 'unknown', message: parsed.error.message});
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      const refused = message.includes('ECONNREFUSED');
      return err({kind: refused ? 'refused' : 'unknown', message});
    }
  }
}
