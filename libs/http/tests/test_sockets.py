"""Tests of the options of TCP sockets."""

import socket

import curio
import curio.socket

from banyandale_http import _sockets as sockets


def test_keepalive_gives_up_after_its_probes():
    """Guards against a user timeout that outlasts the keep-alive probes.

    On Linux it decides when they give up: after 10 s instead of 3 s.
    """

    async def main():
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        async with sock:
            sockets.set_options(sock)
            sockets.set_keepalive(sock)

            def get(option):
                return sock.getsockopt(socket.IPPROTO_TCP, option)

            probing = get(socket.TCP_KEEPIDLE) + (
                get(socket.TCP_KEEPINTVL) * get(socket.TCP_KEEPCNT)
            )
            assert get(socket.TCP_USER_TIMEOUT) == probing * 1000

    curio.run(main)
