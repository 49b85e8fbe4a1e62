"""Tests of calls, requests and heartbeats between two gateways."""

import contextlib
import time

import curio
import pytest

import banyandale_core as core
import banyandale_peer as peer
from banyandale_peer import _control as control

SECRET = b"secret of the tests"


class FixedState:
    """Heartbeat contents that a test can change."""

    def __init__(self, gateway_id):
        self.homes = (
            peer.HomeReport(service="catalogue", zone="a", free_slots=2),
        )
        self._gateway_id = gateway_id

    def describe(self):
        return peer.Heartbeat(
            gateway_id=self._gateway_id,
            boot="b1",
            generation=7,
            http_address="127.0.0.1:80",
            homes=self.homes,
        )


def make_node(gateway_id, *, secret=SECRET, listen="127.0.0.1:0"):
    node = peer.PeerNode(
        gateway_id=gateway_id,
        secret=secret,
        listen_address=listen,
        state=FixedState(gateway_id),
        metrics=core.MemoryMetrics(),
        clock=core.SystemClock(),
    )
    node.metrics = node._metrics
    node.state = node._state
    return node


def seconds_from_now(seconds=2.0):
    return time.monotonic() + seconds


def make_request(**options):
    options = {"deadline": seconds_from_now(), "target": b"/", **options}
    return peer.CallRequest(service="catalogue", method=b"POST", **options)


async def wait_until(condition, seconds=4.0):
    deadline = seconds_from_now(seconds)
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        await curio.sleep(0.005)


@contextlib.asynccontextmanager
async def linked_nodes(*, handler=None, secret=SECRET):
    """Runs gateways `a` and `b`, where `b` answers calls by `handler`."""
    first, second = make_node("a"), make_node("b", secret=secret)
    second.on_call(handler)
    addresses = [
        peer.PeerAddress(gateway_id="a", address=first.listen()),
        peer.PeerAddress(gateway_id="b", address=second.listen()),
    ]
    tasks = []
    try:
        for node in (first, second):
            await node.update_peers(addresses)
            tasks.append(await curio.spawn(node.run, daemon=True))
        yield first, second
    finally:
        for node in (first, second):
            await node.stop()
        for task in tasks:
            await task.join()


async def echo(request):
    return peer.CallAnswer(
        status=201,
        headers=((b"x-target", request.target), *request.headers),
        body=request.body,
    )


async def read_all(answer):
    if answer.body is not None:
        return answer.body
    chunks = []
    while chunk := await answer.chunks.read():
        chunks.append(chunk)
    return b"".join(chunks)


@pytest.mark.parametrize("size", [0, 10, 65536, 65537, 400_000])
def test_call_and_answer_are_whole(size):
    """Guards against a lost or duplicated chunk at a chunk boundary."""
    body = bytes(range(256)) * (size // 256) + b"x" * (size % 256)

    async def main():
        async with linked_nodes(handler=echo) as (first, _):
            for _ in range(2):  # The second call reuses the connection.
                answer = await first.call(
                    "b", make_request(body=body, headers=((b"n", b"v"),))
                )
                assert answer.status == 201
                assert answer.headers == ((b"x-target", b"/"), (b"n", b"v"))
                assert answer.length == size
                assert await read_all(answer) == body

    curio.run(main)


def test_request_fields_and_deadline_arrive():
    """Guards against a lost field or a deadline that changes in transit."""
    seen = []

    async def handler(request):
        seen.append(request)
        return peer.CallAnswer(status=204)

    async def main():
        async with linked_nodes(handler=handler) as (first, _):
            request = make_request(zone="z1", attempt=2, hop=1)
            await first.call("b", request)
            (arrived,) = seen
            assert (arrived.zone, arrived.attempt, arrived.hop) == ("z1", 2, 1)
            assert arrived.method == b"POST"
            assert abs(arrived.deadline - request.deadline) < 1

    curio.run(main)


def test_handler_error_keeps_code_and_mark():
    """Guards against reporting a refusal as an unknown outcome."""

    class QueueFullError(core.CodedError):
        code = "queue_full"
        run = core.RunMark.NOT_RUN

    async def handler(request):
        if request.target == b"/refused":
            raise QueueFullError
        raise RuntimeError

    async def main():
        async with linked_nodes(handler=handler) as (first, _):
            with pytest.raises(peer.RemoteError) as refused:
                await first.call("b", make_request(target=b"/refused"))
            assert refused.value.remote_code == "queue_full"
            assert refused.value.run is core.RunMark.NOT_RUN
            with pytest.raises(peer.RemoteError) as failed:
                await first.call("b", make_request())
            assert failed.value.remote_code == "internal_error"
            assert failed.value.run is core.RunMark.UNKNOWN

    curio.run(main)


@pytest.mark.parametrize("how", ["deadline", "cancel", "close"])
def test_abandoned_call_cancels_handler(how):
    """Guards against work that continues after its caller has left."""
    cancelled = curio.Event()

    class Endless:
        async def read(self):
            await curio.sleep(30)

        async def close(self):
            await cancelled.set()

    async def handler(request):
        if request.target == b"/close":
            return peer.CallAnswer(status=200, body=None, chunks=Endless())
        try:
            await curio.sleep(30)
        finally:
            await cancelled.set()

    async def main():
        async with linked_nodes(handler=handler) as (first, _):
            if how == "deadline":
                with pytest.raises(peer.PeerTimeoutError) as caught:
                    await first.call(
                        "b", make_request(deadline=seconds_from_now(0.1))
                    )
                assert caught.value.run is core.RunMark.UNKNOWN
            elif how == "cancel":
                request = make_request(deadline=seconds_from_now(30))
                task = await curio.spawn(first.call, "b", request)
                await curio.sleep(0.1)
                await task.cancel()
            else:
                request = make_request(
                    deadline=seconds_from_now(30), target=b"/close"
                )
                answer = await first.call("b", request)
                await answer.chunks.close()
            async with curio.timeout_after(2):
                await cancelled.wait()

    curio.run(main)


def test_unread_answer_ends_at_the_deadline():
    """Guards against a dialer that waits for the rest of a partial frame."""

    async def handler(request):
        return peer.CallAnswer(status=200, body=b"x" * 30_000_000)

    async def main():
        async with linked_nodes(handler=handler) as (first, second):
            request = make_request(deadline=seconds_from_now(0.3))
            answer = await first.call("b", request)
            await wait_until(lambda: not second._servers)
            with pytest.raises(peer.PeerError) as caught:
                while await answer.chunks.read():
                    pass
            assert caught.value.run is core.RunMark.UNKNOWN

    curio.run(main)


def test_failed_body_is_not_a_complete_answer():
    """Guards against a truncated body that looks complete."""

    class Broken:
        def __init__(self):
            self.chunks = [b"part"]

        async def read(self):
            if self.chunks:
                return self.chunks.pop()
            # The caller must not see this error's NOT_RUN: the call has run.
            raise peer.PeerUnreachableError("broken")

        async def close(self):
            pass

    async def handler(request):
        return peer.CallAnswer(status=200, body=None, chunks=Broken())

    async def main():
        async with linked_nodes(handler=handler) as (first, _):
            answer = await first.call("b", make_request())
            assert await answer.chunks.read() == b"part"
            for _ in range(2):  # A second read must not look like the end.
                with pytest.raises(peer.PeerError) as caught:
                    await answer.chunks.read()
                assert caught.value.run is core.RunMark.UNKNOWN

    curio.run(main)


@pytest.mark.parametrize("wrong_side", ["dialer", "listener"])
def test_wrong_secret_is_refused_by_both_sides(wrong_side):
    """Guards against links to gateways without the secret."""

    async def main():
        async with linked_nodes(handler=echo, secret=b"other") as nodes:
            # `a` dials the control link; both gateways dial call connections.
            dialer, listener = nodes
            if wrong_side == "listener":
                listener._secret, dialer._secret = (
                    dialer._secret,
                    listener._secret,
                )
            with pytest.raises(peer.PeerError) as caught:
                await dialer.call("b", make_request())
            assert caught.value.run is core.RunMark.NOT_RUN
            await wait_until(
                lambda: listener.metrics.counters["peer_authentication_failed"]
            )
            assert all(
                state.suspected and state.heartbeat is None
                for node in nodes
                for state in node.peers()
            )

    curio.run(main)


def test_heartbeat_contents_and_round_trip_arrive_on_both_sides():
    """Guards against suspecting peers whose link works."""

    async def main():
        async with linked_nodes(handler=echo) as nodes:
            await wait_until(
                lambda: all(
                    node.peers()[0].round_trip is not None for node in nodes
                )
            )
            for node, other in (nodes, nodes[::-1]):
                (state,) = node.peers()
                assert state.heartbeat == other.state.describe()
                assert not state.suspected
                assert 0 <= state.round_trip < 0.5

    curio.run(main)


def test_load_report_follows_announced_change(monkeypatch):
    """Guards against load changes that wait for the next heartbeat."""
    monkeypatch.setattr(control, "HEARTBEAT_SECONDS", 60)
    monkeypatch.setattr(control, "HEARTBEAT_TIMEOUT_SECONDS", 60)

    async def main():
        async with linked_nodes(handler=echo) as (first, second):
            # Load reports go only to peers whose heartbeat was received.
            await wait_until(
                lambda: all(
                    node.peers()[0].heartbeat is not None
                    for node in (first, second)
                )
            )
            home = peer.HomeReport(
                service="catalogue", zone="a", free_slots=0, queued=3, wait=0.25
            )
            second.state.homes = (home,)
            await second.announce_loads()
            await wait_until(
                lambda: first.peers()[0].heartbeat.homes == (home,)
            )

    curio.run(main)


def test_load_that_returns_to_its_old_value_is_sent(monkeypatch):
    """Guards against a heartbeat without contents after a load report.

    It would leave the reported load in place at the peer, although the load
    has returned to that of the last heartbeat with contents.
    """
    monkeypatch.setattr(control, "HEARTBEAT_SECONDS", 0.1)
    monkeypatch.setattr(control, "LOAD_REPORT_SECONDS", 0.0)

    async def main():
        async with linked_nodes(handler=echo) as (first, second):
            homes = second.state.homes

            def has_homes(expected):
                heartbeat = first.peers()[0].heartbeat
                return heartbeat is not None and heartbeat.homes == expected

            await wait_until(lambda: has_homes(homes))
            busy = peer.HomeReport(
                service="catalogue", zone="a", free_slots=0, wait=1.0
            )
            second.state.homes = (busy,)
            await second.announce_loads()
            await wait_until(lambda: has_homes((busy,)))
            second.state.homes = homes
            await wait_until(lambda: has_homes(homes))
            # Without a call of `announce_loads`, a heartbeat sends the load.
            second.state.homes = (busy,)
            await wait_until(lambda: has_homes((busy,)))

    curio.run(main)


def test_home_gained_between_two_heartbeats_becomes_known():
    """Guards against a home that peers never learn of.

    The load of a new home was reported before the next heartbeat. The peer
    ignored the load of an unknown home, and no later heartbeat named the home.
    Lookups then left it out, and calls to it were refused as no_home.
    """

    async def main():
        async with linked_nodes() as (first, second):

            def find_homes():
                (known,) = second.peers()
                homes = known.heartbeat.homes if known.heartbeat else ()
                return {home.zone for home in homes}

            # Load reports go only to peers whose heartbeat was received.
            await wait_until(
                lambda: (
                    find_homes() == {"a"}
                    and first.peers()[0].heartbeat is not None
                )
            )
            gained = peer.HomeReport(service="catalogue", zone="b")
            first.state.homes = (*first.state.homes, gained)
            await first.announce_loads()
            await wait_until(lambda: find_homes() == {"a", "b"})

    curio.run(main)


def test_stop_lets_calls_finish():
    """Guards against a planned shutdown that interrupts a call."""

    async def handler(request):
        await curio.sleep(0.2)
        return peer.CallAnswer(status=200)

    async def main():
        async with linked_nodes(handler=handler) as (first, second):
            call = await curio.spawn(first.call, "b", make_request())
            await curio.sleep(0.1)
            await second.stop(deadline=seconds_from_now())
            assert (await call.join()).status == 200
            with pytest.raises(peer.PeerUnreachableError):
                await first.call("b", make_request())

    curio.run(main)


def test_calls_go_to_the_changed_address():
    """Guards against calls to the old address of a replaced VM."""

    async def main():
        async with linked_nodes(handler=echo) as (first, second):
            await first.call("b", make_request())
            await second.stop()
            again = make_node("b")
            again.on_call(echo)
            moved = [peer.PeerAddress(gateway_id="b", address=again.listen())]
            task = await curio.spawn(again.run, daemon=True)
            await first.update_peers(moved)
            assert (await first.call("b", make_request())).status == 201
            await first.update_peers([])
            with pytest.raises(peer.UnknownPeerError):
                await first.call("b", make_request())
            await again.stop()
            await task.join()

    curio.run(main)


def test_requests_run_side_by_side_and_fail_with_their_code():
    """Guards against a slow request that blocks others on the link."""

    async def answer(request):
        if request.payload == b"slow":
            await curio.sleep(30)
        if request.payload == b"bad":
            raise core.CodedError
        return request.peer_id.encode() + request.payload

    async def main():
        async with linked_nodes() as (first, second):
            second.on_request("echo", answer)
            await wait_until(lambda: not first.peers()[0].suspected)
            slow = await curio.spawn(
                lambda: first.request(
                    "b", "echo", b"slow", deadline=seconds_from_now(30)
                )
            )
            await curio.sleep(0.05)
            reply = await first.request(
                "b", "echo", b"-x", deadline=seconds_from_now()
            )
            assert reply == b"a-x"
            for kind, payload, code in (
                ("echo", b"bad", "internal_error"),
                ("none", b"", "peer_request_unknown"),
            ):
                with pytest.raises(peer.RemoteError) as caught:
                    await first.request(
                        "b", kind, payload, deadline=seconds_from_now()
                    )
                assert caught.value.remote_code == code
            await slow.cancel()
            with pytest.raises(peer.PeerTimeoutError):
                await first.request(
                    "b", "echo", b"slow", deadline=seconds_from_now(0.1)
                )

    curio.run(main)


def test_lost_peer_is_suspected_and_requests_fail_at_once():
    """Guards against waiting for a killed peer and not redialling it."""

    async def wait_forever(request):
        await curio.sleep(30)

    async def main():
        async with linked_nodes() as (first, second):
            second.on_request("wait", wait_forever)
            await wait_until(lambda: not first.peers()[0].suspected)
            task = await curio.spawn(
                lambda: first.request(
                    "b", "wait", b"", deadline=seconds_from_now(30)
                )
            )
            await curio.sleep(0.05)
            address = second.listen()
            await second.stop()
            with pytest.raises(curio.TaskError) as caught:
                await task.join()
            assert isinstance(caught.value.__cause__, peer.LinkClosedError)
            assert first.peers()[0].suspected
            with pytest.raises(peer.PeerUnreachableError):
                await first.request(
                    "b", "wait", b"", deadline=seconds_from_now()
                )
            again = make_node("b", listen=address)
            await again.update_peers(
                [peer.PeerAddress(gateway_id="a", address=first.listen())]
            )
            task = await curio.spawn(again.run, daemon=True)
            await wait_until(lambda: not first.peers()[0].suspected)
            await again.stop()

    curio.run(main)
