/**
 * Simulates an upstream that reports its load. Uses raw sockets so that it can send
 * malformed responses.
 */

import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import type {Milliseconds} from '../time/index.js';
import {systemClock} from '../time/index.js';

/** Fault to inject into responses; only `mute` affects health checks. */
export type ReportingFault =
  | 'none'
  /** Refuses with 503 and states that the request wasn't executed. */
  | 'shed'
  | 'error'
  /** Executes the request, then resets the connection instead of responding. */
  | 'lose-answer'
  /** Closes the connection before the whole declared Content-Length is sent. */
  | 'cut'
  /** Sends part of a response without Content-Length, then resets the connection. */
  | 'cut-unframed'
  /** Sends a complete response without Content-Length and closes the connection. */
  | 'unframed'
  /** Sends the response twice. */
  | 'answer-twice'
  /** Responds with another request's id. */
  | 'wrong-id'
  /** Sends bytes that aren't an HTTP response. */
  | 'garbage'
  /** Executes the request and never responds. */
  | 'hang'
  /** Ignores this and all further requests and probes on the connection. */
  | 'mute'
  /** Responds to a POST with `earlyStatus` once its head has arrived, before its body. */
  | 'refuse-early'
  /**
   * Responds to a POST without Content-Length once its head has arrived, sends a part and
   * ends the connection as `earlyEnd` says.
   */
  | 'truncate-early'
  /** Sends a response without Content-Length that never ends. */
  | 'endless'
  /** Sends chunks without end. */
  | 'endless-chunks'
  /** Sends response headers without end. */
  | 'endless-head'
  /** Sends bytes without end that aren't an HTTP response. */
  | 'endless-garbage'
  /** Stops in the middle of a response, and keeps the connection open. */
  | 'stall'
  /** Sends what `rawResponse` returns. */
  | 'raw'
  /** Omits the signature header, without which a success doesn't count. */
  | 'unsigned';

/** How a connection ends whose request hasn't arrived whole. */
export type EarlyEnd =
  /** In order, while the upstream reads on. */
  | 'end'
  /** By a close, which resets it if a part of the request is unread or still to come. */
  | 'close'
  | 'reset';

/** A request that the upstream received. */
export interface UpstreamRun {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly timeLeftMs: Milliseconds;
  readonly headers: ReadonlyMap<string, string>;
}

export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly percent: number;
}

/**
 * A server ignores empty lines before a request (RFC 9112, 2.2). Hosts and proxies
 * write one after a response without Content-Length to detect whether it was reset.
 */
const LEADING_EMPTY_LINES = /^(\r\n)+/;

const SECOND_MS: Milliseconds = 1_000;
const NOT_EXECUTED_HEADER = 'Cyclamenlever-Not-Executed: 1';
const LAST_BYTES_DELAY_MS: Milliseconds = 20;

const FILLER = 'x'.repeat(64 * 1024);

const DEFAULT_LOAD: ReportedLoad = {
  running: 0,
  waiting: 0,
  slots: 6,
  percent: 100,
};

export class ReportingUpstream {
  fault: ReportingFault = 'none';
  healthy = true;
  workMs: Milliseconds = 0;
  /** Padding to append to response bodies. */
  extraBytes = 0;
  /** Size of that padding for a request. */
  extraBytesOf: (run: UpstreamRun) => number = () => this.extraBytes;
  load: ReportedLoad = DEFAULT_LOAD;
  /** Requests for these targets stop the upstream, unless the `error` fault is set. */
  crashTargets: ReadonlySet<string> = new Set();
  readonly runs: UpstreamRun[] = [];
  /** Requests whose connection closed while they were executing. */
  abandoned = 0;
  probes = 0;
  /** Whether responses to requests and probes include the load. */
  reportsLoad = true;
  /** Whether the reported load includes the requests being executed. */
  reportsActiveRequests = false;
  /** Whether it refuses requests while all its slots are in use. */
  refusesWhenFull = false;
  /** Value of the rate limit header in responses to requests, not to probes. */
  rateLimit: string | undefined;
  /** Whether responses announce that it is leaving, regardless of its record. */
  announcesLeaving = false;
  /** Value of the Retry-After header in refusals; omitted if undefined. */
  retryAfter: string | undefined;
  earlyStatus = 503;
  earlyEnd: EarlyEnd = 'end';
  /** Further header lines of all responses to requests. */
  extraHeaders: readonly string[] = [];
  /** Spoils a response, for the `raw` fault. */
  rawResponse: (response: string) => string = response => response;
  /** Spoils responses to health checks, for the `raw` fault. */
  rawProbeResponse: (response: string) => string = response => response;
  /** Called when requests exceed the cold limit; the upstream then stops. */
  onColdOverload: () => void = () => undefined;
  private readonly arrivalListeners = new Set<(run: UpstreamRun) => void>();
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly muted = new Set<Socket>();
  private activeCount = 0;
  private coldUntil: Milliseconds = -Infinity;
  /** Maximum number of requests that may start in any second while cold. */
  private coldMaxPerSecond = Infinity;
  /** Start times of the requests of the last second. */
  private recentStarts: readonly Milliseconds[] = [];
  /** Reused each time it listens again. */
  private port = 0;

  /**
   * @param id id of this upstream instance
   * @param onRun called as the execution of each request begins
   */
  constructor(
    readonly id: string,
    private readonly onRun: (run: UpstreamRun) => void = () => undefined,
  ) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** IP address and port; empty while not listening. */
  get address(): string {
    const address = this.server.address();
    return typeof address === 'object' && address
      ? `127.0.0.1:${address.port}`
      : '';
  }

  /** Whether the simulated process has stopped. */
  get hasEnded(): boolean {
    return !this.server.listening;
  }

  /**
   * Calls the listener for each request that arrives, whatever its outcome.
   *
   * @returns function that ends this
   */
  subscribeToArrivals(listener: (run: UpstreamRun) => void): () => void {
    this.arrivalListeners.add(listener);
    return () => this.arrivalListeners.delete(listener);
  }

  /**
   * Starts a cold phase and reports its remaining time in health responses.
   *
   * @param maxPerSecond requests that may start within a second; more stop the upstream
   */
  startColdPhase(durationMs: Milliseconds, maxPerSecond: number): void {
    this.coldUntil = systemClock.now() + durationMs;
    this.coldMaxPerSecond = maxPerSecond;
    this.recentStarts = [];
  }

  private get coldRemainingMs(): Milliseconds {
    return Math.round(this.coldUntil - systemClock.now());
  }

  get isCold(): boolean {
    return systemClock.now() < this.coldUntil;
  }

  /** Number of open connections. */
  get openCount(): number {
    return this.sockets.size;
  }

  /** Number of connections that the `mute` fault has silenced. */
  get mutedCount(): number {
    return this.muted.size;
  }

  listen(): Promise<string> {
    return new Promise(resolve => {
      this.server.listen(this.port, '127.0.0.1', () => {
        this.port = Number(this.address.split(':')[1]);
        resolve(this.address);
      });
    });
  }

  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.sockets.forEach(socket => socket.destroy());
    });
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    let buffered = '';
    let refused = false;
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', chunk => {
      buffered += chunk.toString('latin1');
      if (this.fault === 'refuse-early' && hasPostHead(buffered) && !refused) {
        refused = true;
        const head = parseHead(buffered);
        const header =
          this.earlyStatus === 503
            ? NOT_EXECUTED_HEADER
            : 'Cyclamenlever-Server-Stamp: signed';
        socket.write(this.formatResponse(head, this.earlyStatus, '', [header]));
      }
      if (this.fault === 'truncate-early' && hasPostHead(buffered)) {
        refused = true;
        this.truncateEarly(socket, parseHead(buffered));
        buffered = '';
        return;
      }
      for (;;) {
        buffered = buffered.replace(LEADING_EMPTY_LINES, '');
        const request = parse(buffered);
        if (!request) {
          return;
        }
        buffered = buffered.slice(request.size);
        if (refused || this.muted.has(socket)) {
          // Its response was sent when its head arrived.
          refused = false;
          continue;
        }
        this.serve(socket, request.run);
      }
    });
  }

  private truncateEarly(socket: Socket, run: UpstreamRun): void {
    const response = this.formatResponse(run, 200, FILLER, [
      'Cyclamenlever-Server-Stamp: signed',
    ]);
    const part = withoutContentLength(response).slice(0, -FILLER.length / 2);
    const end = {
      end: () => socket.end(),
      close: () => socket.destroy(),
      reset: () => socket.resetAndDestroy(),
    }[this.earlyEnd];
    socket.write(part, end);
  }

  private serve(socket: Socket, run: UpstreamRun): void {
    const expected = run.headers.get('cyclamenlever-expect-instance');
    if (expected !== undefined && expected !== this.id) {
      socket.write(this.formatResponse(run, 421, 'another upstream'));
      return;
    }
    if (run.target === '/health') {
      this.probes += 1;
      const response = this.formatResponse(run, this.healthy ? 200 : 503, '');
      const isRaw = this.fault === 'raw';
      socket.write(
        isRaw ? this.rawProbeResponse(response) : response,
        'latin1',
      );
      return;
    }
    this.arrivalListeners.forEach(listener => listener(run));
    if (this.fault === 'shed' || this.isFull) {
      socket.write(this.formatResponse(run, 503, '', this.refusalHeaders));
      return;
    }
    if (this.fault === 'mute') {
      this.muted.add(socket);
      return;
    }
    this.runs.push(run);
    this.onRun(run);
    if (this.isColdOverloaded()) {
      this.onColdOverload();
      void this.close();
      return;
    }
    this.activeCount += 1;
    const abandon = (): void => {
      this.abandoned += 1;
    };
    socket.once('close', abandon);
    setTimeout(() => {
      socket.off('close', abandon);
      this.activeCount -= 1;
      if (this.crashTargets.has(run.target) && this.fault !== 'error') {
        this.crash(socket, run);
      } else {
        this.respond(socket, run);
      }
    }, this.workMs);
  }

  private get isFull(): boolean {
    return this.refusesWhenFull && this.activeCount >= this.load.slots;
  }

  private get refusalHeaders(): readonly string[] {
    return this.retryAfter === undefined
      ? [NOT_EXECUTED_HEADER]
      : [NOT_EXECUTED_HEADER, `Retry-After: ${this.retryAfter}`];
  }

  private isColdOverloaded(): boolean {
    const now = systemClock.now();
    const recent = this.recentStarts.filter(at => now - at < SECOND_MS);
    this.recentStarts = [...recent, now];
    return this.isCold && this.recentStarts.length > this.coldMaxPerSecond;
  }

  private respond(socket: Socket, run: UpstreamRun): void {
    const stamp = ['Cyclamenlever-Server-Stamp: signed', ...this.extraHeaders];
    const extra = 'x'.repeat(this.extraBytesOf(run));
    const body = `${run.method} ${run.target} ${run.body}${extra}`;
    const response = this.formatResponse(run, 200, body, stamp);
    switch (this.fault) {
      case 'error':
        socket.write(this.formatResponse(run, 500, 'failed', stamp));
        return;
      case 'lose-answer':
        socket.resetAndDestroy();
        return;
      case 'cut':
        socket.write(response.slice(0, -2), () => socket.destroy());
        return;
      case 'cut-unframed':
        this.resetAfter(socket, withoutContentLength(response).slice(0, -2));
        return;
      case 'unframed':
        socket.end(withoutContentLength(response));
        return;
      case 'answer-twice':
        socket.write(response + response);
        return;
      case 'wrong-id':
        socket.write(response.replace(run.id, 'another'));
        return;
      case 'garbage':
        socket.write('not an answer at all\r\n\r\n');
        return;
      case 'unsigned':
        socket.write(this.formatResponse(run, 200, body));
        return;
      case 'hang':
        return;
      case 'raw':
        socket.write(this.rawResponse(response), 'latin1');
        return;
      case 'stall':
        socket.write(response.slice(0, response.length / 2));
        return;
      case 'endless':
        writeForever(socket, withoutContentLength(response), FILLER);
        return;
      case 'endless-chunks':
        writeForever(
          socket,
          `${withoutContentLength(response).split('\r\n\r\n')[0]}\r\n` +
            'Transfer-Encoding: chunked\r\n\r\n',
          `${FILLER.length.toString(16)}\r\n${FILLER}\r\n`,
        );
        return;
      case 'endless-head':
        writeForever(
          socket,
          'HTTP/1.1 200 OK\r\n',
          'X-Filler: x\r\n'.repeat(1_000),
        );
        return;
      case 'endless-garbage':
        writeForever(socket, '', FILLER);
        return;
      default:
        socket.write(response);
    }
  }

  /** Stops the upstream, after part of the response if `extraBytes` is set. */
  private crash(socket: Socket, run: UpstreamRun): void {
    const stamp = ['Cyclamenlever-Server-Stamp: signed'];
    const body = 'x'.repeat(this.extraBytes);
    const prefix = this.formatResponse(run, 200, body, stamp).slice(0, -2);
    if (body === '') {
      void this.close();
    } else {
      socket.write(prefix, () => void this.close());
    }
  }

  /** Resets right after the last bytes, which are sent once the others have been read. */
  private resetAfter(socket: Socket, partial: string): void {
    const lastBytes = partial.slice(-20);
    socket.write(partial.slice(0, -20));
    setTimeout(() => {
      socket.write(lastBytes, () => socket.resetAndDestroy());
    }, LAST_BYTES_DELAY_MS);
  }

  private formatResponse(
    run: UpstreamRun,
    status: number,
    body: string,
    extraHeaders: readonly string[] = [],
  ): string {
    const {waiting, slots, percent} = this.load;
    const running =
      this.load.running + (this.reportsActiveRequests ? this.activeCount : 0);
    const load = `${running},${waiting},${slots},${percent}`;
    return [
      `HTTP/1.1 ${status} Status`,
      `Cyclamenlever-Request-Id: ${run.id}`,
      `Cyclamenlever-Instance-Id: ${this.id}`,
      ...(this.isCold && run.target === '/health'
        ? [`Cyclamenlever-Warmup-Ms: ${this.coldRemainingMs}`]
        : []),
      ...(this.reportsLoad ? [`Cyclamenlever-Server-Load: ${load}`] : []),
      ...(this.rateLimit === undefined || run.target === '/health'
        ? []
        : [`Server-Limit: ${this.rateLimit}`]),
      ...(this.announcesLeaving ? ['Server-Leaving: 1'] : []),
      'Keep-Alive: timeout=10',
      `Content-Length: ${body.length}`,
      ...extraHeaders,
      '',
      body,
    ].join('\r\n');
  }
}

/** Writes as fast as the other side reads, until the connection is closed. */
function writeForever(socket: Socket, start: string, filler: string): void {
  socket.write(start);
  const fill = (): void => {
    while (!socket.destroyed && socket.write(filler)) {
      // Goes on until the buffer is full.
    }
  };
  socket.on('drain', fill);
  fill();
}

function withoutContentLength(response: string): string {
  return response.replace(/Content-Length: \d+\r\n/, '');
}

interface ParsedRequest {
  readonly run: UpstreamRun;
  readonly size: number;
}

function hasPostHead(buffered: string): boolean {
  return buffered.startsWith('POST ') && buffered.includes('\r\n\r\n');
}

/** Parses a request whose body hasn't arrived. */
function parseHead(buffered: string): UpstreamRun {
  const head = buffered.slice(0, buffered.indexOf('\r\n\r\n'));
  const withoutBody = head.replace(/content-length: \d+\r\n/i, '');
  const parsed = parse(`${withoutBody}\r\n\r\n`);
  if (!parsed) {
    throw new Error('the request head is incomplete');
  }
  return parsed.run;
}

/** Parses one request; a body requires Content-Length. Undefined while incomplete. */
function parse(buffered: string): ParsedRequest | undefined {
  const headEnd = buffered.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return undefined;
  }
  const [line = '', ...lines] = buffered.slice(0, headEnd).split('\r\n');
  const headers = new Map(
    lines.map(one => {
      const at = one.indexOf(':');
      return [one.slice(0, at).toLowerCase(), one.slice(at + 1).trim()];
    }),
  );
  const [method = '', target = ''] = line.split(' ');
  const bodyAt = headEnd + 4;
  const length = Number(headers.get('content-length') ?? 0);
  if (buffered.length < bodyAt + length) {
    return undefined;
  }
  const run: UpstreamRun = {
    id: headers.get('cyclamenlever-request-id') ?? '',
    method,
    target,
    body: buffered.slice(bodyAt, bodyAt + length),
    timeLeftMs: Number(headers.get('cyclamenlever-deadline-ms') ?? NaN),
    headers,
  };
  return {run, size: bodyAt + length};
}
