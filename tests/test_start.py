"""Tests of a gateway that cannot start."""

import os
import socket
import subprocess
import sys


def test_used_address_ends_the_gateway():
    """Guards against a gateway that keeps running without accepting calls."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        settings = {
            "ID": "gw",
            "ZONE": "a",
            "LISTEN": address,
            "PEER_LISTEN": "127.0.0.2:19999",
            "PLATFORM": "127.0.0.1:1",
            "PEER_SECRET": "0123456789abcdef",
        }
        result = subprocess.run(
            [sys.executable, "-m", "banyandale", "gateway"],
            env={
                **os.environ,
                **{
                    f"BANYANDALE_{key}": value
                    for key, value in settings.items()
                },
            },
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )
    assert result.returncode == 1, result.stderr
    assert "listen_failed" in result.stderr
