"""Waiting for signals of the operating system."""

import signal
import socket

import curio.io


async def wait_for_signal(*numbers: signal.Signals) -> None:
    """Waits until the process receives one of the signals.

    Curio 1.6 has no support for signals, so the interpreter writes their
    numbers to a socket on which a task can wait. Call it in the main thread.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    for number in numbers:
        signal.signal(number, lambda *_: None)
    signal.set_wakeup_fd(writer.fileno())
    async with curio.io.Socket(reader) as sock:
        while True:
            for received in await sock.recv(64):
                if received in numbers:
                    return
