"""Tests of connections that stay open but no longer carry data.

Also tests of dialers and listeners without the shared secret.
"""

import time

import curio
import curio.socket
import pytest

import banyandale_core as core
import banyandale_peer as peer
from banyandale_peer import _calls as calls
from banyandale_peer import _connections as connections
from banyandale_peer import _control as control

SECRET = b"secret of the tests"


class Relay:
    """Forwards bytes to a node; can stop forwarding on open connections."""

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = connections.open_listener("127.0.0.1:0")
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        self.dropped_up_to = 0  # Number of the last connection to drop data on.

    async def run(self):
        while True:
            sock, _ = await self._listener.accept()
            self.accepted += 1
            other = await curio.socket.create_connection(self._target)
            for pair in ((sock, other), (other, sock)):
                await curio.spawn(self._copy, *pair, self.accepted, daemon=True)

    async def _copy(self, source, sink, number):
        while data := await source.recv(65536):
            if number > self.dropped_up_to:
                await sink.sendall(data)
        await sink.shutdown(1)


class FixedState:
    def __init__(self, gateway_id):
        self._gateway_id = gateway_id

    def describe(self):
        return peer.Heartbeat(
            gateway_id=self._gateway_id, boot="b", generation=1, http_address=""
        )


async def start_pair():
    """Starts gateways `a` and `b`; `a` reaches `b` through a relay."""

    async def answer(request):
        return peer.CallAnswer(status=200, body=request.body)

    nodes = [
        peer.PeerNode(
            gateway_id=gateway_id,
            secret=SECRET,
            listen_address="127.0.0.1:0",
            state=FixedState(gateway_id),
            metrics=core.MemoryMetrics(),
            clock=core.SystemClock(),
        )
        for gateway_id in "ab"
    ]
    first, second = nodes
    second.on_call(answer)
    relay = Relay(second.listen())
    await curio.spawn(relay.run, daemon=True)
    await first.update_peers(
        [peer.PeerAddress(gateway_id="b", address=relay.address)]
    )
    await second.update_peers(
        [peer.PeerAddress(gateway_id="a", address=first.listen())]
    )
    for node in nodes:
        await curio.spawn(node.run, daemon=True)
    return first, second, relay


def make_request():
    return peer.CallRequest(
        service="s",
        method=b"POST",
        target=b"/",
        body=b"x",
        deadline=time.monotonic() + 5,
    )


async def wait_until(condition):
    deadline = time.monotonic() + 6
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        await curio.sleep(0.005)


def test_silent_idle_connections_are_replaced_before_use(monkeypatch):
    """Guards against a call that is lost on a long idle connection."""
    monkeypatch.setattr(calls, "PING_AFTER_IDLE_SECONDS", 0.0)

    async def main():
        first, _, relay = await start_pair()
        await first.call("b", make_request())
        await first.call("b", make_request())
        before = relay.accepted
        relay.dropped_up_to = before
        answer = await first.call("b", make_request())
        assert answer.body == b"x"
        counters = first._metrics.counters
        assert counters["peer_idle_connection_silent"] == 1

    curio.run(main)


def test_silent_connection_in_use_fails_before_the_deadline(monkeypatch):
    """Guards against waiting until the deadline on a dead connection."""
    monkeypatch.setattr(calls, "ACCEPT_SECONDS", 0.1)

    async def main():
        first, _, relay = await start_pair()
        await first.call("b", make_request())
        relay.dropped_up_to = relay.accepted
        with pytest.raises(peer.LinkSilentError) as caught:
            await first.call("b", make_request())
        assert caught.value.run is core.RunMark.UNKNOWN
        assert (await first.call("b", make_request())).body == b"x"

    curio.run(main)


def test_silent_control_link_is_suspected_and_dialled_again(monkeypatch):
    """Guards against trusting a control link without heartbeats."""
    monkeypatch.setattr(control, "HEARTBEAT_TIMEOUT_SECONDS", 0.3)
    monkeypatch.setattr(control, "HEARTBEAT_SECONDS", 0.05)

    async def main():
        first, second, relay = await start_pair()
        await wait_until(
            lambda: (
                not any(node.peers()[0].suspected for node in (first, second))
            )
        )
        relay.dropped_up_to = relay.accepted
        await wait_until(lambda: first.peers()[0].suspected)
        await wait_until(
            lambda: (
                not any(node.peers()[0].suspected for node in (first, second))
            )
        )
        assert first._metrics.counters["peer_link_silent"]
        assert relay.accepted > relay.dropped_up_to

    curio.run(main)


def exchange_raw(data):
    """Sends bytes instead of the dialer's `Identify`; returns the answer."""

    async def main():
        _, second, _ = await start_pair()
        host, _, port = second.listen().rpartition(":")
        sock = await curio.socket.create_connection((host, int(port)))
        await sock.recv(65536)  # The challenge.
        await sock.sendall(data)
        async with curio.timeout_after(3):
            received = await sock.recv(65536)
        return received, second._metrics.counters

    return curio.run(main)


@pytest.mark.parametrize(
    ("data", "counter"),
    [
        (b"\xff\xff\xff\xff", "peer_frame_too_large"),
        (b"\x00\x00\x00\x10" + b"\xff" * 16, "peer_malformed_frame"),
        (b"", "peer_authentication_failed"),
    ],
)
def test_unauthenticated_dialer_is_disconnected_and_counted(
    data, counter, monkeypatch
):
    """Guards against memory or connections held without authentication."""
    monkeypatch.setattr(
        "banyandale_peer._node.HANDSHAKE_SECONDS", 0.2 if not data else 2
    )
    received, counters = exchange_raw(data)
    assert received == b""
    assert counters[counter] == 1


def test_replayed_identify_is_refused():
    """Guards against a recorded MAC that opens a second connection."""

    async def main():
        first, second, _ = await start_pair()
        host, _, port = second.listen().rpartition(":")
        sock = await curio.socket.create_connection((host, int(port)))
        recorded = []
        send = connections.Connection.send

        async def record(connection, frame):
            recorded.append(frame)
            await send(connection, frame)

        connections.Connection.send = record
        try:
            await first.call("b", make_request())
        finally:
            connections.Connection.send = send
        identify = next(
            frame
            for frame in recorded
            if isinstance(
                connections.messages.decode(frame),
                connections.messages.Identify,
            )
        )
        await sock.recv(65536)
        await sock.sendall(
            connections.LENGTH_PREFIX.pack(len(identify)) + identify
        )
        async with curio.timeout_after(3):
            assert await sock.recv(65536) == b""
        counters = second._metrics.counters
        assert counters["peer_authentication_failed"] == 1

    curio.run(main)


def test_listener_without_the_secret_gets_no_call():
    """Guards against calls to another program at the address of a peer."""
    received = []

    async def serve_without_secret(listener):
        sock, _ = await listener.accept()
        connection = connections.Connection(sock=sock)
        await connection.send(
            connections.messages.encode_challenge(
                connections.messages.Challenge(nonce=b"n" * 32)
            )
        )
        received.append(await connection.receive())
        await connection.send(
            connections.messages.encode_welcome(
                connections.messages.Welcome(gateway_id="b", mac=b"m" * 32)
            )
        )
        connection.set_max_frame_bytes(connections.MAX_CALL_FRAME_BYTES)
        while True:
            received.append(await connection.receive())

    async def main():
        first, _, _ = await start_pair()
        listener = connections.open_listener("127.0.0.1:0")
        await curio.spawn(serve_without_secret, listener, daemon=True)
        port = listener.getsockname()[1]
        await first.update_peers(
            [peer.PeerAddress(gateway_id="0", address=f"127.0.0.1:{port}")]
        )
        with pytest.raises(peer.AuthenticationError) as caught:
            await first.call("0", make_request())
        assert caught.value.run is core.RunMark.NOT_RUN
        await curio.sleep(0.05)
        assert len(received) == 1  # Only the `Identify`, no call.

    curio.run(main)
