/** Receives updates from the parent, the host that this one follows. */

import type {ClientRequest, IncomingMessage} from 'node:http';
import {request} from 'node:http';
import {StringDecoder} from 'node:string_decoder';
import type {Peer, PeerFault, Update} from '../decisions/fleet/index.js';
import type {ErrorHandler} from '../lifecycle/index.js';
import {ErrorBoundary} from '../lifecycle/index.js';
import {parseAddress} from '../platform/index.js';
import type {Milliseconds} from '../time/index.js';
import {nextPoll} from '../time/index.js';
import {encodeFollowRequest} from './follow_request.js';
import type {StateVersions} from './types.js';

/**
 * A parent that sends nothing for this time is dead, frozen or partitioned, or the
 * connection is dead. It sends a heartbeat every 200 ms.
 */
const SILENCE_TIMEOUT_MS: Milliseconds = 700;

export interface RelayHandlers {
  readonly onUpdate: (update: Update) => void;
  /** Called once, when no more updates will arrive. */
  readonly onEnd: (fault: PeerFault, reason: string) => void;
  /** Called for an error of this program, which ends the stream. */
  readonly onError: ErrorHandler;
}

export class RelayClient {
  private readonly boundary = new ErrorBoundary(error => {
    this.handlers.onError(error);
    this.end(`an update could not be handled: ${String(error)}`);
  });
  private readonly outgoing: ClientRequest;
  private readonly decoder = new StringDecoder('utf8');
  private timer: NodeJS.Timeout;
  private receivedBytes = 0;
  private partialLine = '';
  private ended = false;

  /**
   * @param address of the parent
   * @param avoid hosts that could not be reached recently
   * @param versions data that this host has already, so that it isn't sent
   * @param firstUpdateMs timeout for the first update, while no other host is asked
   */
  constructor(
    readonly address: string,
    self: Peer,
    avoid: readonly string[],
    versions: StateVersions,
    firstUpdateMs: Milliseconds,
    private readonly handlers: RelayHandlers,
  ) {
    const peer = parseAddress(address);
    const query = encodeFollowRequest(self, avoid);
    Object.entries(versions).forEach(([name, value]) => query.set(name, value));
    this.outgoing = request({
      host: peer?.ip,
      port: peer?.port,
      path: `/updates?${query.toString()}`,
      agent: false,
    });
    this.timer = this.startSilenceTimer(
      Math.min(firstUpdateMs, SILENCE_TIMEOUT_MS),
    );
    const {boundary, outgoing} = this;
    boundary.listen(outgoing, 'error', (error: Error) =>
      this.end(error.message),
    );
    boundary.listen(outgoing, 'response', (answer: IncomingMessage) =>
      this.read(answer),
    );
    this.outgoing.end();
  }

  /** Stops following without a call of `onEnd`. */
  close(): void {
    this.ended = true;
    clearTimeout(this.timer);
    this.outgoing.destroy();
  }

  private read(answer: IncomingMessage): void {
    if (answer.statusCode !== 200) {
      this.end(`status ${String(answer.statusCode)}`, 'stale');
      return;
    }
    const {boundary} = this;
    boundary.listen(answer, 'data', (chunk: Buffer) => this.receive(chunk));
    boundary.listen(answer, 'error', (error: Error) => this.end(error.message));
    boundary.listen(answer, 'close', () =>
      this.end('the peer closed the connection'),
    );
  }

  private receive(chunk: Buffer): void {
    if (this.receivedBytes > 0) {
      this.timer.refresh();
    } else {
      clearTimeout(this.timer);
      this.timer = this.startSilenceTimer(SILENCE_TIMEOUT_MS);
    }
    this.receivedBytes += chunk.length;
    const lines = (this.partialLine + this.decoder.write(chunk)).split('\n');
    this.partialLine = lines.pop() ?? '';
    for (const line of lines) {
      if (this.ended) {
        return;
      }
      const update = parseUpdate(line);
      if (!update) {
        this.end('the peer sent an invalid update');
        return;
      }
      this.handlers.onUpdate(update);
    }
  }

  private startSilenceTimer(afterMs: Milliseconds): NodeJS.Timeout {
    return setTimeout(
      this.boundary.wrap(() => this.endUnlessReadable(afterMs)),
      afterMs,
    );
  }

  private async endUnlessReadable(silentMs: Milliseconds): Promise<void> {
    const {receivedBytes} = this;
    await nextPoll();
    if (this.receivedBytes === receivedBytes) {
      this.end(`silent for ${silentMs} ms`);
    }
  }

  private end(reason: string, fault: PeerFault = 'unreachable'): void {
    if (this.ended) {
      return;
    }
    this.close();
    this.handlers.onEnd(fault, reason);
  }
}

/** Peers run the same program, so only the outer shape of a line is checked. */
function parseUpdate(line: string): Update | undefined {
  try {
    const update = JSON.parse(line) as Partial<Update>;
    return typeof update.kind === 'string' ? (update as Update) : undefined;
  } catch {
    return undefined;
  }
}
