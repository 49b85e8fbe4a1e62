"""Tests of the options of TCP sockets."""

import socket

import curio
import curio.socket
import pytest

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


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:65536",
        "127.0.0.1:" + "7" * 5000,
        "127.0.0.1:-1",
        "127.0.0.1:\u00b2",
        "127.0.0.1:\uff18\uff10",
        "127.0.0.1:",
        "127.0.0.1",
        ":80",
    ],
)
def test_a_port_out_of_range_is_no_address(address):
    """Guards against a connect that raises something else than its errors."""
    with pytest.raises(ValueError, match="ip:port"):
        sockets.parse_address(address)
    assert sockets.parse_address("127.0.0.1:65535") == ("127.0.0.1", 65535)
    assert sockets.parse_address("127.0.0.1:0") == ("127.0.0.1", 0)
