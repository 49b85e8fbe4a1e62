"""Tests of the connection pools for backend servers."""

import time
import types

import curio
import pytest

import banyandale_config as config
from banyandale_gateway import _gateway as gateway_module
from banyandale_gateway import _sender as sender
import banyandale_http as http


async def wait_for_end(sock):
    async with curio.timeout_after(2):
        return await sock.recv(1)


@pytest.mark.parametrize("in_use", [False, True])
def test_connections_to_servers_that_left_are_closed(in_use):
    """Guards against connections kept open to servers no longer configured."""

    async def main():
        listener = http.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        request_sender = sender.Sender(protocol=None, source=None, clock=None)
        pool = request_sender._get_pool(address)
        connection = await pool.acquire(deadline=time.monotonic() + 2)
        accepted, _ = await listener.accept()
        if not in_use:
            await pool.release(connection)
        document = config.Document.model_validate(
            {
                "zones": [{"name": "a"}],
                "services": [
                    {
                        "name": "s",
                        "servers": [{"address": "127.0.1.1:80", "zone": "a"}],
                    }
                ],
            }
        )
        snapshot = config.build_snapshot(document, generation=2)
        owner = types.SimpleNamespace(
            _follower=types.SimpleNamespace(current=lambda: snapshot),
            _sender=request_sender,
        )
        await gateway_module.Gateway._close_unused_connections(owner)
        if in_use:
            # The connection is closed once the active call releases it.
            await pool.release(connection)
        assert await wait_for_end(accepted) == b""
        await accepted.close()
        await listener.close()

    curio.run(main)
