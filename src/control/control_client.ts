/** Client of another entry host's control port. */

import {createTRPCClient, httpLink} from '@trpc/client';
import {Agent, fetch as undiciFetch} from 'undici';
import type {ByteCounter} from '../log_service/index.js';
import type {Milliseconds} from '../time/index.js';
import type {ControlRouter} from './router.js';
import {KEY_HEADER} from './router.js';

/** Typed calls to one control port. */
export type ControlClient = ReturnType<typeof createTRPCClient<ControlRouter>>;

const DEFAULT_TIMEOUT_MS: Milliseconds = 2_000;

export interface ControlClientOptions {
  /** IP address and port. */
  readonly address: string;
  readonly key: string;
  readonly timeoutMs?: Milliseconds;
  readonly countBytes?: ByteCounter;
}

/** Creates clients that share one connection pool. */
export class ControlConnector {
  private readonly agent = new Agent({connections: 1, pipelining: 1});

  client(options: ControlClientOptions): ControlClient {
    const {address, key, timeoutMs = DEFAULT_TIMEOUT_MS, countBytes} = options;
    const call = async (
      url: unknown,
      init?: RequestInit,
    ): Promise<Response> => {
      const response = await undiciFetch(String(url), {
        method: init?.method,
        headers: init?.headers as Record<string, string>,
        body: init?.body as string | undefined,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await response.text();
      countBytes?.(String(init?.body ?? '').length, text.length);
      return new Response(text, {status: response.status});
    };
    return createTRPCClient<ControlRouter>({
      links: [
        httpLink({
          url: `http://${address}`,
          headers: {[KEY_HEADER]: key},
          fetch: call as typeof fetch,
        }),
      ],
    });
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}
