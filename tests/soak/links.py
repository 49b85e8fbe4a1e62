"""A loopback proxy whose connections can be harmed from outside."""

import curio

import banyandale_http as http

RECEIVE_BYTES = 65536
POLL_SECONDS = 0.02


class Link:
    """Forwards connections to one address.

    Attributes:
        address: Where it listens.
        delay: Seconds by which each piece is late.
        state: `up`; `cut` closes open and new connections; `silent` forwards
            nothing; `one_way` forwards only what callers send; `stale` is
            silent for the connections that are open now.
    """

    def __init__(self):
        self.address = None
        self.delay = 0.0
        self.state = "up"
        self._stale = set()
        self._pairs = set()
        self._target = None
        self._task = None
        self._listener = None

    async def start(self, target):
        self._target = target
        self._listener = http.open_listener("127.0.0.1:0")
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._task = await curio.spawn(self._accept, daemon=True)

    async def _accept(self):
        while True:
            sock, _ = await self._listener.accept()
            await curio.spawn(self._serve, sock, daemon=True)

    async def set(self, state, delay=0.0):
        self.delay = delay
        self.state = "up" if state == "stale" else state
        if state == "stale":
            self._stale = set(self._pairs)
        if state == "cut":
            for task in list(self._pairs):
                await task.cancel(blocking=False)

    async def _serve(self, caller):
        task = await curio.current_task()
        self._pairs.add(task)
        try:
            async with caller:
                if self.state == "cut":
                    return
                target = await curio.open_connection(
                    *http.parse_address(self._target)
                )
                async with target, curio.TaskGroup(wait=any) as group:
                    await group.spawn(self._copy, task, caller, target, True)
                    await group.spawn(self._copy, task, target, caller, False)
        except OSError:
            return
        finally:
            self._pairs.discard(task)
            self._stale.discard(task)

    def _holds(self, task, forward):
        if task in self._stale or self.state == "silent":
            return True
        return self.state == "one_way" and not forward

    async def _copy(self, task, source, sink, forward):
        try:
            while data := await source.recv(RECEIVE_BYTES):
                if self.delay:
                    await curio.sleep(self.delay)
                while self._holds(task, forward):
                    await curio.sleep(POLL_SECONDS)
                await sink.sendall(data)
        except OSError:
            # One side reset the connection; the other side is closed too.
            return

    async def stop(self):
        await self.set("cut")
        await self._task.cancel()
        await self._listener.close()
