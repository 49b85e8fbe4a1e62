"""Tests of connections that a response has ended."""

import socket
import threading
import time

import curio

import banyandale_http as http

# What 1 s of reads of 64 KiB every 10 ms takes, with the sockets' buffers.
MAX_DROPPED_BYTES = 32 << 20
TICK_SECONDS = 0.01
MIN_TICKS = 50


def flood(address, sent):
    """Sends a request, and then bytes until the connection ends."""
    with socket.create_connection(address) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        try:
            while True:
                sent.append(sock.send(bytes(65536)))
        except OSError:
            return


def test_a_caller_that_sends_without_end_does_not_hold_up_others():
    """Guards against a linger that reads as fast as its caller sends."""

    async def main():
        listener = http.open_listener("127.0.0.1:0")
        sent = []
        ticks = []

        async def tick():
            while True:
                await curio.sleep(TICK_SECONDS)
                ticks.append(time.monotonic())

        thread = threading.Thread(
            target=flood, args=(listener.getsockname(), sent)
        )
        thread.start()
        sock, _ = await listener.accept()
        connection = http.ServerConnection(sock=sock)
        await connection.read_request(
            limit=0, idle_deadline=time.monotonic() + 2
        )
        connection.close_after_response()
        ticking = await curio.spawn(tick)
        await connection.send_response(http.Response(status=200))
        await connection.close()
        await ticking.cancel()
        await listener.close()
        await curio.run_in_thread(thread.join)
        return sum(sent), len(ticks)

    sent_bytes, ticks = curio.run(main)
    assert sent_bytes < MAX_DROPPED_BYTES
    assert ticks > MIN_TICKS
