"""Tests that the relay delays data, keeps its order and simulates faults."""

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


async def echo(listener, peers):
    while True:
        sock, address = await listener.accept()
        peers.append(address[0])
        await curio.spawn(echo_connection, sock, daemon=True)


async def echo_connection(sock):
    while data := await sock.recv(65536):
        await sock.sendall(data)


def run(check, source):
    """Runs `check(connect, change, peers)` against an echo server."""

    async def main():
        listener = http.open_listener("127.0.2.1:0")
        peers = []
        await curio.spawn(echo, listener, peers, daemon=True)
        config = standins.RelaySettings(
            admin=f"127.0.0.1:{find_free_port()}",
            network=standins.Network(
                zones={"a": "127.0.1.", "b": "127.0.2."}, one_way_ms=20
            ),
            routes=[
                standins.RouteSettings(
                    listen=f"127.0.2.9:{find_free_port()}",
                    target=f"127.0.2.1:{listener.getsockname()[1]}",
                    zone="b",
                )
            ],
        )

        async def serve():
            await standins.serve_relay(config=config)

        async def connect():
            return await http.open_socket(
                address=config.routes[0].listen,
                source=source,
                deadline=time.monotonic() + 2,
            )

        async def change(state):
            value = {"zone": "a", "other": "b", "state": state}
            await admin.call(config.admin, "PUT", "/links", value)

        await curio.spawn(serve, daemon=True)
        await curio.sleep(0.02)
        await check(connect, change, peers)

    curio.run(main)


async def receive(sock, count):
    data = b""
    async with curio.timeout_after(2):
        while len(data) < count and (chunk := await sock.recv(65536)):
            data += chunk
    return data


def test_delay_between_zones_keeps_order_and_source():
    """Guards against lost or reordered bytes and a missing delay."""

    async def check(connect, change, peers):
        sock = await connect()
        await sock.sendall(b"x")
        await receive(sock, 1)
        data = bytes(range(256)) * 4096
        start = time.monotonic()
        sender = await curio.spawn(sock.sendall, data)
        assert await receive(sock, len(data)) == data
        await sender.join()
        assert time.monotonic() - start >= 0.04
        assert peers == ["127.0.1.7"]

    run(check, "127.0.1.7")


def test_connection_within_a_zone_is_forwarded():
    """Guards against lost or reordered bytes on links without delay."""

    async def check(connect, change, peers):
        sock = await connect()
        data = bytes(range(256)) * 4096
        sender = await curio.spawn(sock.sendall, data)
        assert await receive(sock, len(data)) == data
        await sender.join()
        assert peers == ["127.0.2.7"]

    run(check, "127.0.2.7")


def test_cut_and_silence():
    """Guards against faults that do not affect open or new connections."""

    async def check(connect, change, peers):
        first = await connect()
        await first.sendall(b"1")
        assert await receive(first, 1) == b"1"
        await change("silent_open")
        await first.sendall(b"2")
        with pytest.raises(curio.TaskTimeout):
            async with curio.timeout_after(0.1):
                await first.recv(1)
        second = await connect()
        await second.sendall(b"3")
        assert await receive(second, 1) == b"3"
        await change("cut")
        assert await receive(second, 1) == b""
        third = await connect()
        assert await receive(third, 1) == b""
        await change("up")
        fourth = await connect()
        await fourth.sendall(b"4")
        assert await receive(fourth, 1) == b"4"

    run(check, "127.0.1.7")
