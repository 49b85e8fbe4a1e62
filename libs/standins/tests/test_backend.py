"""Tests of the simulated backend servers that the system tests rely on."""

import json
import socket
import time

import curio
import pytest

import banyandale_http as http
import banyandale_standins as standins
from banyandale_standins import _admin as admin


def find_free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Backend:
    """One running server and one connection to it."""

    def __init__(self, settings, connection):
        self.address = settings.servers[0].address
        self._admin = settings.admin
        self._connection = connection

    async def connect(self):
        return await http.ClientConnection.open(
            address=self.address, deadline=time.monotonic() + 2
        )

    async def call(self, target=b"/1", *, connection=None, **options):
        request = http.Request(
            method=options.get("method", b"GET"),
            target=target,
            headers=options.get("headers", ()),
        )
        connection = connection or self._connection
        return await connection.exchange(
            request, limit=1 << 20, deadline=time.monotonic() + 2
        )

    async def change(self, **fields):
        await admin.call(self._admin, "PUT", "/servers", fields)

    async def counters(self):
        page = await admin.call(self._admin, "GET", "/counters")
        return page["servers"][0]["counters"]

    async def effects(self):
        page = await admin.call(self._admin, "GET", "/effects")
        return page["effects"]

    async def warm_up(self):
        for _ in range(5):
            response = await self.call()
        return response


def run(check, *, mean_ms=1.0, slots=1, queue=1, service=None):
    settings = standins.BackendsSettings(
        admin=f"127.0.0.1:{find_free_port()}",
        network=standins.Network(connect_ms=0),
        services={"s": standins.ServiceProfile(mean_ms=mean_ms, sigma=0.1)},
        servers=[
            standins.ServerSettings(
                address=f"127.0.0.1:{find_free_port()}",
                service="s",
                zone="a",
                slots=slots,
                queue=queue,
            )
        ],
        neighbours=standins.EpisodeSettings(share=0),
    )

    async def main():
        task = await curio.spawn(_serve, settings, daemon=True)
        await curio.sleep(0.02)
        address = settings.servers[0].address
        connection = await http.ClientConnection.open(
            address=address, deadline=time.monotonic() + 2
        )
        await check(Backend(settings, connection))
        await task.cancel()

    curio.run(main)


async def _serve(settings):
    await standins.serve_backends(config=settings)


def test_response_shows_whether_it_is_complete():
    """Guards against wrong responses that a load tool cannot recognize."""

    async def check(backend):
        headers = ((b"request-id", b"r1"),)
        response = await backend.call(b"/7", headers=headers)
        assert standins.find_fault(b"/7", response.body) is None
        assert standins.find_fault(b"/8", response.body) == "wrong_body"
        cut = response.body[:-1]
        assert standins.find_fault(b"/7", cut) == "incomplete_body"
        assert response.header(b"request-id") == b"r1"
        assert response.header(b"server-phase") == b"cold"

    run(check)


def test_cold_server_fails_under_load_and_is_cold_again():
    """Guards against cold servers that accept any load."""

    async def check(backend):
        response = await backend.warm_up()
        assert response.header(b"server-phase") == b"warm"
        boot = response.header(b"server-boot")
        await backend.change(cold=True)
        second = await backend.connect()
        task = await curio.spawn(backend.call)
        with pytest.raises(http.TruncatedResponseError):
            await backend.call(connection=second)
        with pytest.raises(curio.TaskError):
            await task.join()
        third = await backend.connect()
        response = await backend.call(connection=third)
        assert response.header(b"server-phase") == b"cold"
        assert response.header(b"server-boot") != boot
        assert (await backend.counters())["cold_overruns"] == 1

    run(check, mean_ms=10)


def test_full_and_late_requests_are_shed_without_effect():
    """Guards against shed requests that ran although marked as not run."""

    async def check(backend):
        await backend.warm_up()
        tasks = []
        for number in range(3):
            connection = await backend.connect()
            headers = ((b"idempotency-key", b"k%d" % number),)
            tasks.append(
                await curio.spawn(
                    lambda c=connection, h=headers: backend.call(
                        method=b"POST", connection=c, headers=h
                    )
                )
            )
            await curio.sleep(0.002)
        statuses = [(await task.join()).status for task in tasks]
        assert statuses == [200, 200, 503]
        late = ((b"request-deadline", b"1000"), (b"request-id", b"late"))
        response = await backend.call(method=b"POST", headers=late)
        assert response.header(b"server-shed") == b"not-run"
        assert await backend.effects() == {"k0": 1, "k1": 1}
        counters = await backend.counters()
        assert counters["shed_full"] == counters["shed_deadline"] == 1

    run(check, mean_ms=20)


def test_closing_cancels_work():
    """Guards against slots held by requests whose caller disconnected."""

    async def check(backend):
        await backend.warm_up()
        await backend.change(slow_factor=1000)
        connection = await backend.connect()
        await connection.send_request(
            http.Request(method=b"GET", target=b"/1"),
            deadline=time.monotonic() + 1,
        )
        await curio.sleep(0.02)
        await connection.close()
        await backend.change(slow_factor=1)
        assert (await backend.call()).status == 200
        assert (await backend.counters())["cancelled"] == 1

    run(check, queue=0)


def test_faults():
    """Guards against faults that do not affect responses."""

    async def check(backend):
        await backend.warm_up()
        await backend.change(fault="cross")
        await backend.call(b"/1")
        response = await backend.call(b"/2")
        assert standins.find_fault(b"/2", response.body) == "wrong_body"
        await backend.change(fault="truncate")
        with pytest.raises(http.TruncatedResponseError):
            await backend.call()
        connection = await backend.connect()
        await backend.change(fault="double")
        assert (await backend.call(connection=connection)).status == 200
        assert not connection.is_reusable
        connection = await backend.connect()
        await backend.change(fault="none", silence="open")
        request = http.Request(method=b"GET", target=b"/1")
        with pytest.raises(http.ResponseTimeoutError):
            await connection.exchange(
                request, limit=9, deadline=time.monotonic() + 0.05
            )
        connection = await backend.connect()
        assert (await backend.call(connection=connection)).status == 200
        await backend.change(refuse=True)
        with pytest.raises(http.ConnectError):
            await backend.connect()
        await backend.change(refuse=False)
        connection = await backend.connect()
        response = await backend.call(connection=connection)
        assert response.header(b"server-phase") == b"cold"

    run(check)


def test_load_report():
    """Guards against load reports that do not match the headers."""

    async def check(backend):
        await backend.change(leaving=True)
        response = await backend.call(b"/load")
        page = json.loads(response.body)
        assert page["phase"] == "leaving"
        assert (page["in_flight"], page["slots"]) == (0, 1)
        assert response.header(b"server-phase") == b"leaving"
        assert response.header(b"server-load") == b"0/1"
        assert response.header(b"server-boot").decode() == page["boot"]

    run(check)


def test_episodes_slow_work_down_and_repeat_by_seed():
    """Guards against episodes without effect or that a seed does not fix."""
    settings = standins.EpisodeSettings(share=0.5, factor=4, length_ms=50)
    ends = []
    for _ in range(2):
        episodes = standins.Episodes(settings=settings, start=0, seed=3)
        ends.append(
            [
                episodes.compute_end_time(start=now, work=1.0)
                for now in range(50)
            ]
        )
    assert ends[0] == ends[1]
    took = [end - start for start, end in enumerate(ends[0])]
    assert all(1.0 <= seconds <= 4.0 for seconds in took)
    assert 1.3 < sum(took) / len(took) < 2.0
