/** A connection to an upstream through another host. */

import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import type {ErrorHandler} from '../lifecycle/index.js';
import {ErrorBoundary, resetSocket} from '../lifecycle/index.js';
import {BrokenTunnelError} from './errors.js';
import type {TunnelDecoder} from './types.js';

type WriteCallback = (error?: Error | null) => void;

/** Ends like the upstream's connection; an end of the other host alone is an error. */
export class TunnelSocket extends Duplex {
  /**
   * @param socket connected to the other host
   * @param onError called for an error of this program, which closes the connection
   */
  constructor(
    private readonly socket: Socket,
    private readonly decoder: TunnelDecoder,
    onError: ErrorHandler,
  ) {
    super({allowHalfOpen: false});
    const boundary = new ErrorBoundary(error => {
      onError(error);
      this.resetAndDestroy();
    });
    // The upstream may end its connection before it has received the whole request.
    socket.allowHalfOpen = true;
    boundary.listen(socket, 'data', (received: Buffer) =>
      this.receive(received),
    );
    boundary.listen(socket, 'end', () => this.breakUnlessEnded());
    boundary.listen(socket, 'close', () => this.breakUnlessEnded());
    boundary.listen(socket, 'error', (error: Error) => this.destroy(error));
    // Without a listener, an error while no request uses it would end the process.
    boundary.listen(this, 'error', () => undefined);
  }

  /** Resets the connection, so that bytes in transit are lost. */
  resetAndDestroy(): void {
    resetSocket(this.socket);
    this.destroy();
  }

  // Node's HTTP client calls these of its sockets.
  setNoDelay(isEnabled: boolean): this {
    this.socket.setNoDelay(isEnabled);
    return this;
  }

  ref(): this {
    this.socket.ref();
    return this;
  }

  unref(): this {
    this.socket.unref();
    return this;
  }

  override _read(): void {
    this.socket.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: WriteCallback,
  ): void {
    this.socket.write(chunk, callback);
  }

  override _writev(
    chunks: readonly {readonly chunk: Buffer}[],
    callback: WriteCallback,
  ): void {
    this.socket.write(Buffer.concat(chunks.map(({chunk}) => chunk)), callback);
  }

  override _final(callback: WriteCallback): void {
    this.socket.end(callback);
  }

  override _destroy(error: Error | null, callback: WriteCallback): void {
    this.socket.destroy();
    callback(error);
  }

  private receive(received: Buffer): void {
    const {decoder, socket} = this;
    if (decoder.hasEnded) {
      return;
    }
    for (const piece of decoder.decode(received)) {
      if (!this.push(piece)) {
        socket.pause();
      }
    }
    if (decoder.hasEnded) {
      this.push(null);
    }
  }

  private breakUnlessEnded(): void {
    if (!this.decoder.hasEnded) {
      this.destroy(new BrokenTunnelError());
    }
  }
}
