"""Runs a gateway whose connections come from its own address.

On a VM they do so anyway. On loopback they would all come from 127.0.0.1, and a
stand-in could not tell the gateways apart.
"""

import importlib
import pathlib
import runpy
import sys

ROOT = pathlib.Path(__file__).parents[2]


def bind_sources(source):
    sockets = importlib.import_module("banyandale_http._sockets")
    open_socket = sockets.open_socket

    async def open_bound(**fields):
        return await open_socket(**fields | {"source": source})

    sockets.open_socket = open_bound


if __name__ == "__main__":
    main = str(ROOT / "platform" / "main.py")
    source, sys.argv = sys.argv[1], [main, *sys.argv[2:]]
    sys.path[:0] = [
        str(path)
        for path in (*ROOT.glob("libs/*/src"), ROOT / "platform" / "src")
    ]
    bind_sources(source)
    runpy.run_path(main, run_name="__main__")
