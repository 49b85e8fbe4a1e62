"""Process tests with objects of another writer that nobody can use."""

import json
import signal

import curio
import deployments
import odd_entries
import pytest

GATEWAYS = ("127.0.7.1", "127.0.7.2")
CALLS = 12
ROUNDS = 5
# Longest line of the log in bytes.
MAX_LINE = 1500


async def send_calls(deployment, ips, name, prefix="/write/"):
    """Returns the statuses of a few calls over all gateways."""
    return {
        (
            await deployment.send(
                ips[number % len(ips)],
                f"{prefix}{number}",
                method="POST",
                body=b"x",
                name=f"{name}-{number}",
            )
        ).status
        for number in range(CALLS)
    }


async def restart(deployment, ips):
    for ip in ips:
        deployment.processes[ip].send_signal(signal.SIGKILL)
        deployment.processes[ip].wait()
    for ip in ips:
        deployment.start_gateway(ip)
    for ip in ips:
        await deployment.wait_ready(ip)


async def wait_for_event(deployment, ips, event, **fields):
    """Waits for a line with these fields at each gateway."""
    for ip in ips:
        await deployments.wait_until(
            lambda ip=ip: [
                line
                for line in deployment.read_events(ip, event)
                if fields.items() <= line.items()
            ]
        )


def check_logs(deployment, ips):
    for ip in ips:
        for event in ("fault", "part_failed", "read_failed", "library_log"):
            assert deployment.read_events(ip, event) == []
        lines = (deployment.folder / f"{ip}.log").read_text().splitlines()
        assert max(len(line) for line in lines) <= MAX_LINE


@pytest.mark.parametrize(
    "odd",
    [
        "nested_array",
        "long_number",
        "latin",
        "slots_of_401_digits",
        "port_65536",
        "host_name",
    ],
)
def test_an_odd_entry_hides_no_server(tmp_path, odd):
    """Guards against gateways that stop following, or never get ready."""
    data = odd_entries.make_entry(*odd_entries.ODD[odd])
    name = odd_entries.NAME

    async def scenario(deployment, *ips):
        await deployment.store.put_bytes("servers", name, data)
        await wait_for_event(deployment, ips, "entry_rejected", name=name)
        assert await send_calls(deployment, ips, "before") == {200}
        # Later entries are followed.
        server = await deployment.replace_server(deployment.servers[0], "new")
        await wait_for_event(
            deployment, ips, "server_entry", server="new", state="ready"
        )
        await restart(deployment, ips)
        for attempt in range(ROUNDS):
            statuses = await send_calls(deployment, ips, f"after-{attempt}")
            assert statuses == {200}
        # Servers are drawn at random.
        assert server.executed_ids
        for ip in ips:
            # Once by each process.
            assert len(deployment.read_events(ip, "entry_rejected")) == 2
        await deployment.store.delete("servers", name)
        await wait_for_event(
            deployment, ips, "rejected_entry_gone", name=name, reason="deleted"
        )
        check_logs(deployment, ips)

    deployments.run(tmp_path, scenario, GATEWAYS)


def test_all_odd_entries_at_once_hide_no_server(tmp_path):
    """Guards against a fault of one kind that hides that of another.

    The metadata of some entries is odd, too.
    """

    async def scenario(deployment, *ips):
        for kind in ("servers", "gateways", "crashes"):
            for odd, change in odd_entries.ODD.items():
                data = odd_entries.make_entry(*change)
                await deployment.store.put_bytes(kind, f"x-{odd}", data)
            # A list goes on after a name, so that not all of a page lack one.
            metadata = {
                **odd_entries.ODD_METADATA,
                "no_name": odd_entries.NO_NAME["name_half_of_a_character"],
            }
            for odd, text in metadata.items():
                deployment.store.odd_metadata[kind, f"y-{odd}"] = text.replace(
                    odd_entries.NAME.encode(), f"y-{odd}".encode()
                )
                data = odd_entries.make_entry()
                await deployment.store.put_bytes(kind, f"y-{odd}", data)
        assert await send_calls(deployment, ips, "before") == {200}
        await restart(deployment, ips)
        assert await send_calls(deployment, ips, "after") == {200}
        await deployment.replace_server(deployment.servers[0], "new")
        await wait_for_event(
            deployment, ips, "server_entry", server="new", state="ready"
        )
        await deployment.configure(
            2, [*deployments.RULES, deployments.RULES[0]]
        )
        await wait_for_event(deployment, ips, "configuration", version=2)
        # Beyond the interval at which gateways' entries are read.
        await curio.sleep(3.0)
        check_logs(deployment, ips)

    deployments.run(tmp_path, scenario, GATEWAYS)


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_a_server_whose_entry_turns_odd_gets_no_calls(tmp_path, state):
    """Guards against a server that is used by what its entry once said.

    Also guards against one that had announced its departure and comes back.
    """

    async def scenario(deployment, *ips):
        server = deployment.servers[0]
        await deployment.register(server, state=state)
        if state == "draining":
            await wait_for_event(
                deployment, ips, "server_entry", server="i-0", state="leaving"
            )
        data = odd_entries.make_entry(
            *odd_entries.ODD["nested_array"], address=server.address
        )
        await deployment.store.put_bytes("servers", "i-0", data)
        await wait_for_event(
            deployment, ips, "entry_rejected", name="i-0", kind="servers"
        )
        used = len(server.executed_ids)
        assert await send_calls(deployment, ips, "odd") == {200}
        await restart(deployment, ips)
        assert await send_calls(deployment, ips, "restarted") == {200}
        assert len(server.executed_ids) == used
        # Its next report counts again.
        await deployment.register(server, state=state)
        await wait_for_event(
            deployment,
            ips,
            "rejected_entry_gone",
            name="i-0",
            reason="readable",
        )
        for attempt in range(ROUNDS):
            await send_calls(deployment, ips, f"again-{attempt}")
        assert (len(server.executed_ids) > used) == (state == "ready")
        check_logs(deployment, ips)

    deployments.run(tmp_path, scenario, GATEWAYS)


@pytest.mark.parametrize("odd", ["nested_array", "long_number", "latin"])
def test_an_odd_configuration_leaves_the_accepted_one_in_force(tmp_path, odd):
    """Guards against routes that an unreadable configuration takes away."""
    _, text = odd_entries.ODD[odd]

    async def scenario(deployment, *ips):
        odd_bytes = b'{"specification": {"version": 9, "more": %s}}' % text
        await deployment.store.put_bytes("config", "main", odd_bytes)
        await wait_for_event(deployment, ips, "entry_rejected", kind="config")
        assert await send_calls(deployment, ips, "odd") == {200}
        await deployment.configure(
            10, [*deployments.RULES, ("/new/", "idempotent", "s", {})]
        )
        await wait_for_event(deployment, ips, "configuration", version=10)
        assert await send_calls(deployment, ips, "new", "/new/") == {200}
        check_logs(deployment, ips)

    deployments.run(tmp_path, scenario, GATEWAYS)


def test_a_start_without_a_configuration_says_why_it_is_not_ready(tmp_path):
    """Guards against an operator who cannot tell what a gateway waits for."""
    valid = {}

    async def scenario(deployment, ip):
        stored = deployment.store.store.peek(kind="config", name="main")
        valid.update(json.loads(stored.value))
        deployment.processes[ip].kill()
        deployment.processes[ip].wait()
        await deployment.store.put_bytes(
            "config",
            "main",
            b'{"specification": %s}' % (b"[" * 3000 + b"]" * 3000),
        )
        deployment.start_gateway(ip)
        await wait_for_event(
            deployment,
            [ip],
            "readiness",
            ready=False,
            missing=["configuration"],
        )
        for _ in range(10):
            status = await deployment.get_status(
                ip, deployments.READY_PORT, "/banyandale/ready"
            )
            assert status == 503
            await curio.sleep(0.1)
        assert deployment.read_events(ip, "entry_rejected")
        await deployment.store.put("config", "main", valid)
        await deployment.wait_ready(ip)
        assert await send_calls(deployment, [ip], "later") == {200}
        check_logs(deployment, [ip])

    deployments.run(tmp_path, scenario)


def test_an_entry_at_the_address_of_another_server_keeps_no_call(tmp_path):
    """Guards against a load report that is taken for that of another server.

    It ended the round of reports, and the call was refused as there was no
    server, though others were idle.
    """

    async def scenario(deployment, *ips):
        address = deployment.servers[0].address
        for number in range(3):
            data = odd_entries.make_entry(address=address)
            await deployment.store.put_bytes("servers", f"x-{number}", data)
        await wait_for_event(
            deployment, ips, "server_entry", server="x-2", state="ready"
        )
        for attempt in range(4):
            assert await send_calls(deployment, ips, f"c{attempt}") == {200}
        check_logs(deployment, ips)

    deployments.run(tmp_path, scenario, GATEWAYS)
