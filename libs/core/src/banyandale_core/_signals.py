"""Handling of operating system signals in curio tasks."""

import collections
import signal
import socket
from typing import Self

import curio.io

SIGNAL_READ_BYTES = 64


class SignalReceiver:
    """Receives signals in a curio task.

    Curio 1.6 does not support signals, so the interpreter writes their
    numbers to a socket that a task reads. Instances must be created in the
    main thread, and only one can exist at a time.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        self._numbers = frozenset(numbers)
        self._received: collections.deque[int] = collections.deque()
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        for number in numbers:
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(self._writer.fileno())
        self._reader = curio.io.Socket(reader)

    async def receive(self) -> signal.Signals:
        """Waits for the next signal and returns it."""
        while not self._received:
            data = await self._reader.recv(SIGNAL_READ_BYTES)
            self._received.extend(n for n in data if n in self._numbers)
        return signal.Signals(self._received.popleft())

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        signal.set_wakeup_fd(-1)
        await self._reader.close()
        self._writer.close()


async def wait_for_signal(*numbers: signal.Signals) -> None:
    """Waits until the process receives one of the given signals."""
    async with SignalReceiver(*numbers) as receiver:
        await receiver.receive()
