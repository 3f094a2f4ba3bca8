"""Carries connections over a link with a small window, as a client far away has one.

On loopback addresses a socket takes megabytes at once, whatever its peer reads. Here
the segments have the size of Ethernet, the window is small, and the bytes towards the
client are passed on at the speed of the link.

Arguments: the address to listen at, the address and port to connect to, and the speed
of the link in bytes a millisecond. Prints the port.
"""

import socket
import struct
import sys
import threading
import time

SEGMENT_BYTES = 1448
WINDOW_BYTES = 32 * 1024
PIECE_BYTES = 4096
RESET = struct.pack("ii", 1, 0)


def upstream_socket(address):
    link = socket.socket()
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    link.connect(address)
    return link


def forward(source, target, bytes_per_ms):
    """Passes bytes on until the source ends, and ends the target in the same way."""
    free_at = time.monotonic()
    try:
        while True:
            piece = source.recv(PIECE_BYTES)
            if not piece:
                target.shutdown(socket.SHUT_WR)
                return
            if bytes_per_ms:
                free_at = max(free_at, time.monotonic())
                free_at += len(piece) / bytes_per_ms / 1000
                time.sleep(max(0, free_at - time.monotonic()))
            target.sendall(piece)
    except OSError:
        target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        target.close()


def carry(client, address, bytes_per_ms):
    try:
        link = upstream_socket(address)
    except OSError:
        client.close()
        return
    threading.Thread(target=forward, args=(client, link, 0), daemon=True).start()
    forward(link, client, bytes_per_ms)


def main():
    listen_ip, ip, port, bytes_per_ms = sys.argv[1:]
    listener = socket.socket()
    listener.bind((listen_ip, 0))
    listener.listen(128)
    print(listener.getsockname()[1], flush=True)
    while True:
        client, _ = listener.accept()
        arguments = (client, (ip, int(port)), float(bytes_per_ms))
        threading.Thread(target=carry, args=arguments, daemon=True).start()


main()
