"""System tests of the planned stop of a gateway."""

import dataclasses
import signal
import time
import zlib

import curio
import pytest

import banyandale_http as http
import banyandale_standins as standins
import cluster as clusters

SERVICE = "catalogue"
ZONE = "a"
# Validity of a lookup, as stated in its response.
LOOKUP_SECONDS = 2.0
# Time after which a lease expires that is not renewed.
LEASE_SECONDS = 3.0
STOP_SECONDS = 20.0
GRACE_SECONDS = 4.0
BURST_CALLS = 30
# Far larger than all socket buffers on the path, and read so slowly that the
# gateway must keep running for it after lookups have expired.
LONG_BYTES = 24 << 20
READ_BYTES_PER_SECOND = 5 << 20

# A home moves only after its requests at cold servers have ended, so that the
# next holder cannot exceed a cold limit. Servers are never cold here, so that
# homes do not wait for the long responses.
DEPLOYMENT = dataclasses.replace(
    clusters.SLOW_DEPLOYMENT,
    services=(
        *clusters.SLOW_DEPLOYMENT.services,
        standins.ServicePlan(
            name="archive",
            servers=3,
            priority=3,
            profile=standins.ServiceProfile(
                mean_ms=20, min_bytes=LONG_BYTES, max_bytes=LONG_BYTES
            ),
            deadline_ms=20_000,
        ),
    ),
).start_warm()


async def read_slowly(gateway, started, bytes_per_second=READ_BYTES_PER_SECOND):
    """Reads a long response slowly; returns the seconds that this took.

    Fails unless the body is complete.
    """
    begin = time.monotonic()
    deadline = begin + STOP_SECONDS
    connection = await http.ClientConnection.open(
        address=gateway.listen, deadline=deadline
    )
    await connection.send_request(
        http.Request(
            method=b"GET", target=b"/long", headers=((b"service", b"archive"),)
        ),
        deadline=deadline,
    )
    head = await connection.read_head(deadline=deadline)
    assert head.status == 200
    chunks = []
    size = 0
    while chunk := await connection.read_chunk(deadline=deadline):
        await started.set()
        chunks.append(chunk)
        size += len(chunk)
        due = begin + size / bytes_per_second
        await curio.sleep(max(due - time.monotonic(), 0.0))
    await connection.close()
    line, _, body = b"".join(chunks).partition(b"\n")
    _, length, checksum = line.split(b" ")
    assert int(length) == len(body)
    assert int(checksum, 16) == zlib.crc32(body)
    return time.monotonic() - begin


async def send_until_closed(gateway):
    """Sends requests on one connection until it closes; returns their number.

    Fails when a request gets no response.
    """
    deadline = time.monotonic() + STOP_SECONDS
    connection = await http.ClientConnection.open(
        address=gateway.listen, deadline=deadline
    )
    count = 0
    while connection.is_reusable:
        response = await connection.exchange(
            http.Request(
                method=b"GET",
                target=b"/item",
                headers=((b"service", SERVICE.encode()),),
            ),
            limit=clusters.MAX_BODY_BYTES,
            deadline=deadline,
        )
        assert response.status == 200
        count += 1
        await curio.sleep(0.1)
    await connection.close()
    return count


def test_a_stop_ends_within_its_grace_time(tmp_path):
    """Guards against a stop that the platform ends, without a line in the log.

    The caller reads its response for longer than the grace time.
    """

    async def scenario(cluster):
        home = await cluster.wait_for_home("archive", ZONE)
        started = curio.Event()
        stream = await curio.spawn(
            read_slowly, home, started, READ_BYTES_PER_SECOND / 2
        )
        await started.wait()
        stopped_at = time.monotonic()
        cluster.system.processes.signal(home.name, signal.SIGTERM)

        async def has_ended():
            return not cluster.system.processes.is_running(home.name)

        await cluster.wait_for(has_ended, seconds=GRACE_SECONDS)
        assert time.monotonic() - stopped_at < GRACE_SECONDS
        status = cluster.system.processes.wait(
            home.name, deadline=time.monotonic() + 1
        )
        assert status == 0
        assert "call /long is cut" in cluster.system.processes.read_log(
            home.name
        )
        with pytest.raises(curio.TaskError):
            await stream.join()

    clusters.run(
        tmp_path,
        scenario,
        deployment=DEPLOYMENT,
        variant=standins.Variant(grace_seconds=GRACE_SECONDS),
    )


def test_stop_cuts_no_request(tmp_path):
    """Guards against requests that a planned stop aborts.

    The requests come from callers with a valid lookup, on new and on
    persistent connections; they are queued, in flight, in a long response or
    forwarded by a peer.
    """

    async def scenario(cluster):
        home = await cluster.wait_for_home("archive", ZONE)
        other = next(
            item
            for item in cluster.system.gateways
            if item.zone == ZONE and item != home
        )
        page = await cluster.status(home)
        homes = [(item["service"], item["zone"]) for item in page["homes"]]
        start = cluster.start_load(seconds=6.0)
        await clusters.sleep_until(start + 0.3)
        started = [curio.Event(), curio.Event()]
        streams = [
            await curio.spawn(read_slowly, home, started[0]),
            await curio.spawn(read_slowly, other, started[1]),
        ]
        persistent = await curio.spawn(send_until_closed, home)
        for event in started:
            await event.wait()
        burst = [
            await curio.spawn(cluster.call, home, SERVICE)
            for _ in range(BURST_CALLS)
        ]
        await curio.sleep(0.02)

        stopped_at = time.monotonic()
        cluster.system.processes.signal(home.name, signal.SIGTERM)
        calls = 0
        moved_at = None
        while time.monotonic() < stopped_at + LOOKUP_SECONDS:
            response = await cluster.call(home, SERVICE)
            assert response.status == 200
            calls += 1
            if moved_at is None:
                holders = [await cluster.find_home(*key) for key in homes]
                if home not in holders and None not in holders:
                    moved_at = time.monotonic()
        assert cluster.system.processes.is_running(home.name)
        assert moved_at is not None, "homes did not move"
        assert moved_at - stopped_at < LEASE_SECONDS
        for task in burst:
            assert (await task.join()).status == 200
        seconds = [await task.join() for task in streams]
        assert min(seconds) > LOOKUP_SECONDS
        count = await persistent.join()

        async def has_ended():
            return not cluster.system.processes.is_running(home.name)

        await cluster.wait_for(has_ended, seconds=STOP_SECONDS)
        status = cluster.system.processes.wait(
            home.name, deadline=time.monotonic() + 1
        )
        assert status == 0
        print(
            f"{len(homes)} homes moved in {moved_at - stopped_at:.3f} s;"
            f" {calls} calls on new connections, {count} on a persistent one,"
            f" {BURST_CALLS} queued; streams of {seconds[0]:.1f} s and"
            f" {seconds[1]:.1f} s"
        )
        for service, result in (await cluster.finish_load()).items():
            assert not result.failed + result.wrong, service
            if service != "ledger":
                clusters.check_served(result)

    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT)
