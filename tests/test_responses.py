"""System tests that callers get the complete response to their request."""

import contextlib
import time

import curio
import pytest

import banyandale_http as http
import banyandale_standins as standins
import cluster as clusters

CALLS = 60
# More than a gateway buffers before it starts to send the response.
LONG_BYTES = 200_000
SMALL_LIMIT_BYTES = 100_000
NEW_SERVICE = "photos"
RECEIVE_BYTES = 65536

# The archive has one server, in zone a, so that the gateways of the other
# zones reach it over the peer links only.
DEPLOYMENT = standins.Deployment(
    name="responses",
    zones=("a", "b", "c"),
    gateways=3,
    connections=200,
    services=(
        standins.ServicePlan(
            name="archive",
            servers=1,
            priority=3,
            profile=standins.ServiceProfile(
                mean_ms=5, min_bytes=LONG_BYTES, max_bytes=2 * LONG_BYTES
            ),
        ),
        standins.ServicePlan(
            name="catalogue",
            servers=6,
            priority=1,
            profile=standins.ServiceProfile(mean_ms=5),
        ),
    ),
    cold=standins.ColdSettings(warm_requests=0),
    neighbours=standins.EpisodeSettings(share=0),
)


async def gets_complete_response(cluster, gateway, service, target):
    """Calls a service; returns whether the complete, correct response arrived.

    A response that looks complete but is wrong fails the test.
    """
    try:
        response = await cluster.call(gateway, service, target=target)
    except (http.TruncatedResponseError, http.MalformedResponseError):
        return False
    if response.status != 200:
        run_mark, reason = clusters.read_reason(response)
        assert run_mark in ("not-run", "unknown")
        assert reason
        return False
    assert standins.find_fault(target, response.body) is None
    return True


async def count_faults(cluster, service, fault):
    states = (await cluster.server_states()).values()
    return sum(
        state["counters"].get(f"fault_{fault}", 0)
        for state in states
        if state["service"] == service
    )


@pytest.mark.parametrize("fault", ["truncate", "cross", "double", "delay"])
def test_wrong_short_response_does_not_reach_a_caller(tmp_path, fault):
    """Guards against truncated responses and those to another request."""

    async def scenario(cluster):
        for zone in DEPLOYMENT.zones:
            for address in cluster.servers("catalogue", zone):
                await cluster.change_server(
                    address, fault=fault, fault_ratio=0.3, delay_ms=300
                )
        complete = 0
        for number in range(CALLS):
            gateway = cluster.system.gateways[number % 3]
            target = b"/item/%d" % number
            complete += await gets_complete_response(
                cluster, gateway, "catalogue", target
            )
        faults = await count_faults(cluster, "catalogue", fault)
        print(f"{fault}: {faults} faults, {complete} of {CALLS} calls complete")
        assert faults > 0
        assert complete > 0
        if fault in ("double", "delay"):
            assert complete == CALLS

    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT, gateways=3)


@pytest.mark.parametrize("fault", ["truncate", "cross"])
def test_broken_long_response_is_no_complete_one(tmp_path, fault):
    """Guards against streamed responses that end early but look complete."""

    async def scenario(cluster):
        (address,) = cluster.servers("archive", "a")
        for number, gateway in enumerate(cluster.system.gateways):
            target = b"/first/%d" % number
            assert await gets_complete_response(
                cluster, gateway, "archive", target
            )
        await cluster.change_server(address, fault=fault)
        complete = 0
        for number in range(12):
            gateway = cluster.system.gateways[number % 3]
            target = b"/broken/%d" % number
            complete += await gets_complete_response(
                cluster, gateway, "archive", target
            )
            target += b"/old"
            body, is_complete = await call_http_1_0(gateway, "archive", target)
            if is_complete:
                assert standins.find_fault(target, body) is None
                complete += 1
        faults = await count_faults(cluster, "archive", fault)
        print(f"{fault}: {faults} faults in 24 calls, {complete} complete")
        assert faults >= 12
        # A retry may get the response to the first attempt of its call.
        assert fault == "cross" or complete == 0
        await cluster.change_server(address, fault="none")
        for number, gateway in enumerate(cluster.system.gateways):
            target = b"/last/%d" % number
            assert await gets_complete_response(
                cluster, gateway, "archive", target
            )
            body, is_complete = await call_http_1_0(gateway, "archive", target)
            assert is_complete
            assert standins.find_fault(target, body) is None

    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT, gateways=3)


def test_stream_without_length_is_complete_only_with_its_end(tmp_path):
    """Guards against chunked bodies that end early or exceed the limit.

    An HTTP/1.0 caller gets such a body without a length, so that only a
    connection reset shows that the body is incomplete.
    """

    async def scenario(cluster):
        async with contextlib.AsyncExitStack() as stack:
            server = ChunkedServer(
                f"127.0.1.99:{cluster.system.deployment.port}"
            )
            task = await curio.spawn(server.run, daemon=True)
            stack.push_async_callback(task.cancel)
            await publish_server(cluster, server.address)
            for gateway in cluster.system.gateways:
                server.ends_early = server.exceeds_limit = False
                response = await cluster.call(gateway, NEW_SERVICE)
                assert response.status == 200
                assert len(response.body) == LONG_BYTES
                body, is_complete = await call_http_1_0(
                    gateway, NEW_SERVICE, b"/whole"
                )
                assert (len(body), is_complete) == (LONG_BYTES, True)
                for fault in ("ends_early", "exceeds_limit"):
                    server.ends_early = fault == "ends_early"
                    server.exceeds_limit = fault == "exceeds_limit"
                    with pytest.raises(http.TruncatedResponseError):
                        await cluster.call(gateway, NEW_SERVICE)
                    body, is_complete = await call_http_1_0(
                        gateway, NEW_SERVICE, b"/broken"
                    )
                    print(f"{gateway.name}, {fault}: {len(body)} bytes")
                    assert not is_complete, (fault, len(body))

    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT, gateways=3)


def test_response_over_the_limit_is_refused(tmp_path):
    """Guards against a service's `max_response_bytes` that has no effect."""

    async def scenario(cluster):
        document = cluster.system.deployment.build_document()
        for service in document["services"]:
            service["max_response_bytes"] = SMALL_LIMIT_BYTES
        await cluster.system.apply_document(document, message="limits")
        await cluster.system.wait_in_force()
        for gateway in cluster.system.gateways:
            response = await cluster.call(gateway, "archive")
            assert response.status in (502, 503)
            run_mark, reason = clusters.read_reason(response)
            assert run_mark == "unknown"
            # If a peer holds the home, the reason is the peer's error code.
            assert reason in ("response_too_large", "remote_error")
            assert await gets_complete_response(
                cluster, gateway, "catalogue", b"/short"
            )

    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT, gateways=3)


class ChunkedServer:
    """A backend server that sends long bodies with chunked encoding."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.ends_early = False
        self.exceeds_limit = False

    async def run(self) -> None:
        listener = http.open_listener(self.address)
        async with listener:
            while True:
                sock, _ = await listener.accept()
                await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock: curio.io.Socket) -> None:
        connection = http.ServerConnection(sock=sock)
        with contextlib.suppress(http.HttpError):
            while await self._serve_request(connection):
                pass
        await connection.close()

    async def _serve_request(self, connection: http.ServerConnection) -> bool:
        request = await connection.read_request(
            limit=0, idle_deadline=time.monotonic() + clusters.CALL_SECONDS
        )
        if request is None:
            return False
        await connection.start_response(
            http.ResponseHead(
                status=200,
                headers=((b"server-boot", b"1"), (b"server-phase", b"warm")),
            )
        )
        if self.exceeds_limit:
            # Exceeds the limit that `publish_server` sets.
            for _ in range(20):
                await connection.send_chunk(bytes(LONG_BYTES))
            await connection.end_response()
            return True
        await connection.send_chunk(bytes(LONG_BYTES // 2))
        if self.ends_early:
            # Lets the gateway begin to forward the body.
            await connection.send_chunk(bytes(LONG_BYTES // 4))
            await curio.sleep(0.1)
            return False
        await connection.send_chunk(bytes(LONG_BYTES // 2))
        await connection.end_response()
        return True


async def publish_server(cluster, address: str) -> None:
    """Adds a service whose only server is run by the test."""
    document = cluster.system.deployment.build_document()
    service = dict(document["services"][0], name=NEW_SERVICE)
    service["max_response_bytes"] = 2 * LONG_BYTES
    service["servers"] = [dict(service["servers"][0], address=address)]
    document["services"].append(service)
    await cluster.system.apply_document(document, message="new service")
    await cluster.system.wait_in_force()

    async def has_home():
        return await cluster.find_home(NEW_SERVICE, "a")

    await cluster.wait_for(has_home)


async def call_http_1_0(
    gateway: standins.GatewayPlan, service: str, target: bytes
) -> tuple[bytes, bool]:
    """Calls over HTTP/1.0; returns the body and whether it is complete."""
    deadline = time.monotonic() + clusters.CALL_SECONDS
    sock = await http.open_socket(
        address=gateway.listen, source=None, deadline=deadline
    )
    data = b""
    async with sock, curio.timeout_after(clusters.CALL_SECONDS):
        await sock.sendall(
            b"GET %s HTTP/1.0\r\nservice: %s\r\n\r\n"
            % (target, service.encode())
        )
        try:
            while received := await sock.recv(RECEIVE_BYTES):
                data += received
        except ConnectionResetError:
            return data.partition(b"\r\n\r\n")[2], False
    head, _, body = data.partition(b"\r\n\r\n")
    if not head.split(b"\r\n")[0].endswith(b"200 OK") and (
        b" 200 " not in head.split(b"\r\n")[0] + b" "
    ):
        return body, False
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return body, len(body) == int(value)
    return body, True
