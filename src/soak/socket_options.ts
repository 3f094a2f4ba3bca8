/** Options of TCP sockets that Node doesn't offer, by calls of Linux's C library. */

import type {Server} from 'node:net';
import {Socket} from 'node:net';
import koffi from 'koffi';

const AF_INET = 2;
const SOCK_STREAM = 1;
const SOL_SOCKET = 1;
const SO_ERROR = 4;
const SO_SNDBUF = 7;
const SO_RCVBUF = 8;
const SO_LINGER = 13;
const IPPROTO_TCP = 6;
const TCP_MAXSEG = 2;
const INT_BYTES = 4;

const libc = koffi.load(null);
const socket = libc.func('int socket(int, int, int)') as (
  ...numbers: readonly number[]
) => number;
const setsockopt = libc.func(
  'int setsockopt(int, int, int, _In_ int *value, uint32_t)',
) as SetSocketOption;
const getsockopt = libc.func(
  'int getsockopt(int, int, int, _Out_ int *value, _Inout_ uint32_t *size)',
) as GetSocketOption;

type SetSocketOption = (
  descriptor: number,
  level: number,
  name: number,
  value: readonly number[],
  bytes: number,
) => number;

type GetSocketOption = (
  descriptor: number,
  level: number,
  name: number,
  value: number[],
  bytes: number[],
) => number;

/** Sizes that bound what a connection holds in the system's buffers. */
export interface SocketSizes {
  readonly segmentBytes: number;
  readonly receiveBytes: number;
  readonly sendBytes: number;
}

/** A socket that isn't connected yet, whose peer will see these sizes. */
export function createSocket(sizes: SocketSizes): Socket {
  const fd = socket(AF_INET, SOCK_STREAM, 0);
  setSizes(fd, sizes);
  const options = {
    fd,
    allowHalfOpen: true,
    readable: true,
    writable: true,
    // Reading begins once it is connected.
    manualStart: true,
  };
  return new Socket(options);
}

/** Sets the sizes of the connections that a server accepts from now on. */
export function setAcceptedSizes(server: Server, sizes: SocketSizes): void {
  setSizes(descriptorOf(server), sizes);
}

/** Closes a connection with a reset, also one that is being ended. */
export function reset(socket: Socket): void {
  const fd = descriptorOf(socket);
  if (fd >= 0) {
    set(fd, SOL_SOCKET, SO_LINGER, [1, 0]);
  }
  socket.destroy();
}

/**
 * Whether the peer has reset a connection. Node reports a reset that arrives with the
 * last bytes as an orderly end.
 */
export function wasReset(socket: Socket): boolean {
  const fd = descriptorOf(socket);
  const error = [0];
  return (
    fd >= 0 &&
    getsockopt(fd, SOL_SOCKET, SO_ERROR, error, [INT_BYTES]) === 0 &&
    error[0] !== 0
  );
}

function setSizes(
  fd: number,
  {segmentBytes, receiveBytes, sendBytes}: SocketSizes,
): void {
  set(fd, IPPROTO_TCP, TCP_MAXSEG, [segmentBytes]);
  set(fd, SOL_SOCKET, SO_RCVBUF, [receiveBytes]);
  set(fd, SOL_SOCKET, SO_SNDBUF, [sendBytes]);
}

function set(
  fd: number,
  level: number,
  name: number,
  value: readonly number[],
): void {
  if (setsockopt(fd, level, name, value, value.length * INT_BYTES) !== 0) {
    throw new Error(`socket option ${name} of level ${level} was refused`);
  }
}

/** Node has no public way to the descriptor; -1 once it is closed. */
function descriptorOf(owner: Server | Socket): number {
  const {_handle: handle} = owner as unknown as {
    readonly _handle?: {readonly fd: number} | null;
  };
  return handle?.fd ?? -1;
}
