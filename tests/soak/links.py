"""A TCP proxy on the loopback interface that injects connection faults."""

import curio

import banyandale_http as http

RECEIVE_BYTES = 65536
POLL_SECONDS = 0.02


class Link:
    """Forwards connections to one address.

    Attributes:
        address: Address on which the proxy listens.
        delay: Seconds by which the proxy delays all data.
        state: `up` forwards all data; `cut` closes open and new connections;
            `silent` forwards no data; `one_way` forwards only data from
            callers. The state `stale` blocks the connections that are open
            when it is set and forwards later ones.
        cut_ips: Callers whose connections are blocked, and new ones closed.
    """

    def __init__(self):
        self.address = None
        self.delay = 0.0
        self.state = "up"
        self.cut_ips = set()
        self._stale_tasks = set()
        self._serve_tasks = set()
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

    async def set_state(self, state, delay=0.0):
        self.delay = delay
        self.state = "up" if state == "stale" else state
        if state == "stale":
            self._stale_tasks = set(self._serve_tasks)
        if state == "cut":
            for task in list(self._serve_tasks):
                await task.cancel(blocking=False)

    async def _serve(self, caller):
        task = await curio.current_task()
        self._serve_tasks.add(task)
        try:
            async with caller:
                ip = caller.getpeername()[0]
                if self.state == "cut" or ip in self.cut_ips:
                    return
                target = await curio.open_connection(
                    *http.parse_address(self._target)
                )
                async with target, curio.TaskGroup(wait=any) as group:
                    for ends in ((caller, target), (target, caller)):
                        forward = ends[0] is caller
                        await group.spawn(self._copy, task, *ends, forward, ip)
        except OSError:
            return
        finally:
            self._serve_tasks.discard(task)
            self._stale_tasks.discard(task)

    def set_target(self, target):
        """Sets where later connections lead."""
        self._target = target

    def _is_blocked(self, task, forward, ip):
        if ip in self.cut_ips:
            return True
        if task in self._stale_tasks or self.state == "silent":
            return True
        return self.state == "one_way" and not forward

    async def _copy(self, task, source, destination, forward, ip):
        try:
            while data := await source.recv(RECEIVE_BYTES):
                if self.delay:
                    await curio.sleep(self.delay)
                while self._is_blocked(task, forward, ip):
                    await curio.sleep(POLL_SECONDS)
                await destination.sendall(data)
        except OSError:
            # One side reset the connection; `_serve` closes the other side.
            return

    async def stop(self):
        await self.set_state("cut")
        await self._task.cancel()
        await self._listener.close()
