"""Tests that the console command serves, sends metrics and stops."""

import socket
import time

import curio
import pytest

from banyandale import _console_command as console_command
from banyandale import _settings as settings
import banyandale_core as core
import banyandale_http as http

TOKEN = "0123456789abcdef"


def test_console_runs_until_a_signal(monkeypatch):
    """Guards against a console that does not serve, report metrics or stop.

    After the signal the command must return and its port must be closed.
    """
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
    statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    statsd.bind(("127.0.0.1", 0))
    statsd.settimeout(5)
    statuses = []

    async def send_requests(*numbers):
        deadline = time.monotonic() + 5
        connection = await http.ClientConnection.open(
            address=address, deadline=deadline
        )
        for body in (f"token={TOKEN}", "\xff="):
            response = await connection.exchange(
                http.Request(
                    method=b"POST",
                    target=b"/login",
                    body=body.encode("latin-1"),
                ),
                limit=10_000,
                deadline=deadline,
            )
            statuses.append(response.status)
        await connection.close()
        await curio.sleep(0.05)

    monkeypatch.setattr(core, "wait_for_signal", send_requests)
    monkeypatch.setattr(console_command, "STATSD_FLUSH_SECONDS", 0.01)
    curio.run(
        console_command.run_console,
        settings.ConsoleSettings(
            platform="127.0.0.1:1",
            console_listen=address,
            console_token=TOKEN,
            statsd=f"127.0.0.1:{statsd.getsockname()[1]}",
        ),
    )
    assert statuses == [303, 400]
    assert statsd.recv(1000) == b"banyandale.console.console_invalid_form:1|c"
    with pytest.raises(ConnectionRefusedError):
        host, port = http.parse_address(address)
        socket.create_connection((host, port))
    statsd.close()
