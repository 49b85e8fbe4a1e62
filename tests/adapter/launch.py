"""Runs a gateway whose connections come from its own address.

On a VM they do so anyway. On loopback they would all come from 127.0.0.1, and a
stand-in could not tell the gateways apart.
"""

import importlib
import os
import pathlib
import runpy
import socket
import sys

ROOT = pathlib.Path(__file__).parents[2]
# Size of the send buffers of accepted connections. On loopback, an answer of
# several megabytes would otherwise fit into them.
SEND_BYTES_VARIABLE = "BANYANDALE_TEST_SEND_BYTES"


def bind_sources(source):
    sockets = importlib.import_module("banyandale_http._sockets")
    open_socket = sockets.open_socket

    async def open_bound(**fields):
        return await open_socket(**fields | {"source": source})

    sockets.open_socket = open_bound


def limit_send_buffers(size):
    sockets = importlib.import_module("banyandale_http._sockets")
    package = importlib.import_module("banyandale_http")
    open_listener = sockets.open_listener

    def open_limited(address):
        listener = open_listener(address)
        # Accepted connections inherit it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        return listener

    package.open_listener = open_limited


if __name__ == "__main__":
    main = str(ROOT / "platform" / "main.py")
    source, sys.argv = sys.argv[1], [main, *sys.argv[2:]]
    sys.path[:0] = [
        str(path)
        for path in (*ROOT.glob("libs/*/src"), ROOT / "platform" / "src")
    ]
    bind_sources(source)
    if SEND_BYTES_VARIABLE in os.environ:
        limit_send_buffers(int(os.environ[SEND_BYTES_VARIABLE]))
    runpy.run_path(main, run_name="__main__")
