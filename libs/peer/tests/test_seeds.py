"""Tests of links to seeds, peers of which only the address is known."""

import contextlib
import logging
import time

import curio
import pytest

import banyandale_core as core
import banyandale_peer as peer
from banyandale_peer import _connections as connections

SECRET = b"secret of the tests"


class State:
    def __init__(self, gateway_id):
        self.gateway_id = gateway_id

    def describe(self):
        return peer.Heartbeat(
            gateway_id=self.gateway_id,
            boot="b1",
            generation=7,
            http_address="127.0.0.1:80",
        )


def make_node(gateway_id, *, secret=SECRET, seeds=()):
    metrics = core.MemoryMetrics()
    node = peer.PeerNode(
        gateway_id=gateway_id,
        secret=secret,
        listen_address="127.0.0.1:0",
        seeds=seeds,
        state=State(gateway_id),
        metrics=metrics,
        clock=core.SystemClock(),
    )
    node.counters = metrics.counters

    async def answer(request):
        return f"{gateway_id}<{request.peer_id}".encode()

    node.on_request("ask", answer)
    return node


@contextlib.asynccontextmanager
async def running(*nodes):
    tasks = [await curio.spawn(node.run, daemon=True) for node in nodes]
    try:
        yield
    finally:
        for node in nodes:
            await node.stop()
        for task in tasks:
            await task.join()


async def wait_until(condition, seconds=5.0):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        await curio.sleep(0.005)


def list_reachable(node):
    return [item.gateway_id for item in node.peers() if not item.suspected]


def address_of(node, gateway_id):
    return peer.PeerAddress(gateway_id=gateway_id, address=node.listen())


async def ask(node, peer_id):
    deadline = time.monotonic() + 2
    return await node.request(peer_id, "ask", b"", deadline=deadline)


@pytest.mark.parametrize("new_id", ["a", "z"])
def test_new_gateway_links_by_address_and_stays_linked(new_id):
    """Guards against a gateway that cannot start while the platform is down.

    Also guards against closing the link once the platform lists both gateways.
    """

    async def main():
        old = make_node("m")
        new = make_node(new_id, seeds=[old.listen()])
        async with running(old, new):
            await wait_until(
                lambda: (
                    list_reachable(new) == ["m"]
                    and list_reachable(old) == [new_id]
                )
            )
            assert await ask(new, "m") == f"m<{new_id}".encode()
            listed = [address_of(old, "m"), address_of(new, new_id)]
            for node in (old, new):
                await node.update_peers(listed)
            await wait_until(
                lambda: (
                    list_reachable(new) == ["m"]
                    and list_reachable(old) == [new_id]
                )
            )
            assert await ask(old, new_id) == f"{new_id}<m".encode()
            assert old.counters["peer_link_silent"] == 0

    curio.run(main)


def test_platform_overrides_address():
    """Guards against a link from another address than the listed one."""

    async def main():
        old = make_node("m")
        await old.update_peers(
            [peer.PeerAddress(gateway_id="a", address="127.0.0.1:1")]
        )
        new = make_node("a", seeds=[old.listen()])
        async with running(old, new):
            await wait_until(lambda: old.counters["peer_wrong_gateway"])
            assert not list_reachable(old)
            assert not list_reachable(new)

    curio.run(main)


def test_unlisted_peer_is_left_out_beside_listed_ones():
    """Guards against calls to homes of a gateway that has lost its lease."""

    async def main():
        old, other = make_node("m"), make_node("n")
        new = make_node("a", seeds=[old.listen()])
        async with running(old, other, new):
            await old.update_peers([address_of(other, "n")])
            await wait_until(lambda: list_reachable(new) == ["m"])
            assert [item.gateway_id for item in old.peers()] == ["n"]

    curio.run(main)


@pytest.mark.parametrize("wrong", ["old", "new"])
def test_wrong_secret_is_refused(wrong):
    """Guards against seed links between gateways with different secrets."""

    async def main():
        secrets = {"old": SECRET, "new": SECRET, wrong: b"other"}
        old = make_node("m", secret=secrets["old"])
        new = make_node("a", secret=secrets["new"], seeds=[old.listen()])
        async with running(old, new):
            await wait_until(
                lambda: old.counters["peer_authentication_failed"] > 1
            )
            assert not old.peers()
            assert not new.peers()

    curio.run(main)


def test_macs_cover_listener_id_and_dialer_address():
    """Guards against an id or address that is altered in transit."""
    identify = connections.messages.Identify(
        gateway_id="a",
        target_id="",
        link_kind="control",
        address="127.0.0.1:1",
        nonce=b"n",
        mac=b"",
    )
    other_address = connections.messages.Identify(
        gateway_id="a",
        target_id="",
        link_kind="control",
        address="127.0.0.1:2",
        nonce=b"n",
        mac=b"",
    )
    mac = connections._compute_listener_mac(SECRET, b"c", identify, "m")
    assert mac != connections._compute_listener_mac(SECRET, b"c", identify, "n")
    assert mac != connections._compute_listener_mac(
        SECRET, b"c", other_address, "m"
    )
    assert connections._compute_dialer_mac(SECRET, b"c", identify) != (
        connections._compute_dialer_mac(SECRET, b"c", other_address)
    )


def test_own_address_among_the_seeds_is_refused():
    """Guards against a gateway that treats itself as a peer."""

    async def main():
        node = make_node("m")
        node._seeds = (node.listen(),)
        async with running(node):
            await wait_until(lambda: node.counters["peer_wrong_gateway"])
            assert not node.peers()

    curio.run(main)


def test_lost_links_are_not_logged_as_crashed_tasks(caplog):
    """Guards against a traceback in the log for each lost link."""

    async def main():
        old = make_node("m")
        new = make_node("a", seeds=[old.listen()])
        async with running(new):
            async with running(old):
                await wait_until(lambda: list_reachable(new) == ["m"])
            await wait_until(lambda: not list_reachable(new))
            await curio.sleep(0.2)

    with caplog.at_level(logging.ERROR):
        curio.run(main)
    assert "Crash" not in caplog.text
