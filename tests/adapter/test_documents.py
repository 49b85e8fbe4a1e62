"""Tests of the format of the objects in the store."""

import json

import odd_entries
import pytest
import standin

import banyandale_adapter as adapter
import banyandale_direct as direct
import banyandale_platform as platform

ZONES = {"a": "r"}
CODEC = adapter.StoreCodec()


def make_stored(value, kind="servers", name="i-1"):
    return platform.StoredObject(
        kind=kind, name=name, version=1, value=json.dumps(value).encode()
    )


def make_entry(**fields):
    server = standin.ServerStandin("i-1")
    server.address = "127.0.0.1:80"
    return server.make_entry("s", **fields)


def test_an_entry_is_read_whole():
    """Guards against fields that are read from the wrong place."""
    entry = make_entry(state="draining")
    entry["status"]["warmupLeftS"] = 1.5
    read = CODEC.read_server(make_stored(entry), zones=ZONES)
    assert read == direct.Server(
        id="i-1",
        address="127.0.0.1:80",
        service="s",
        zone="a",
        slots=2,
        leaving=True,
        cold_seconds=1.5,
        started_unix_ms=1_787_000_000_000,
        report=1,
    )


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("specification", "address"), 80),
        (("specification", "address"), "nowhere"),
        (("specification", "born"), "1787000000000"),
        (("specification", "born"), 1.5),
        (("specification", "nodeInfo", "service"), None),
        (("specification", "nodeInfo", "zone"), "moon"),
        (("specification", "nodeInfo", "capacitySlots"), "2"),
        (("specification", "nodeInfo"), []),
        (("status", "state"), "sleeping"),
        (("status", "seq"), "4"),
        (("status",), None),
        (("specification",), "x"),
    ],
)
def test_invalid_entries_are_rejected(path, value):
    """Guards against calls to an address from an invalid entry."""
    entry = make_entry()
    *parents, last = path
    target = entry
    for key in parents:
        target = target[key]
    target[last] = value
    with pytest.raises(direct.MalformedEntryError):
        CODEC.read_server(make_stored(entry), zones=ZONES)


def make_bytes(data, kind="servers", name="i-1"):
    return platform.StoredObject(kind=kind, name=name, version=1, value=data)


@pytest.mark.parametrize("odd", odd_entries.ODD)
def test_an_odd_entry_names_no_server(odd):
    """Guards against calls to a server that is not what its entry says.

    Also guards against a number or nesting that ends what reads the entry.
    """
    data = odd_entries.make_entry(*odd_entries.ODD[odd])
    with pytest.raises(direct.MalformedEntryError):
        CODEC.read_server(make_bytes(data), zones=ZONES)
    valid = make_bytes(odd_entries.make_entry())
    assert CODEC.read_server(valid, zones=ZONES).address == "127.0.0.1:9"


def test_largest_values_of_an_entry_are_read():
    """Guards against bounds that reject a server that exists."""
    entry = json.loads(odd_entries.make_entry(address="255.255.255.254:65535"))
    entry["specification"]["nodeInfo"]["capacitySlots"] = 1_000_000
    entry["specification"]["born"] = 2**63 - 1
    entry["specification"]["nodeInfo"]["version"] = "v" * 256
    entry["status"].update(seq=2**63 - 1, warmupLeftS=86_400)
    read = CODEC.read_server(make_stored(entry), zones=ZONES)
    assert (read.slots, read.report) == (1_000_000, 2**63 - 1)


@pytest.mark.parametrize("kind", ["servers", "gateways", "crashes", "config"])
def test_an_object_without_readable_metadata_is_rejected(kind):
    """Guards against an object of which not even the name is known."""
    with pytest.raises(direct.MalformedEntryError, match="revision"):
        read_any(make_bytes(b"", kind, ""))


def read_any(stored):
    if stored.kind == "servers":
        return CODEC.read_server(stored, zones=ZONES)
    if stored.kind == "gateways":
        return CODEC.read_member(stored)
    if stored.kind == "crashes":
        return CODEC.read_crash_record(stored, unix_offset=0.0)
    return CODEC.read_configuration(stored)


@pytest.mark.parametrize(
    ("name", "zone"),
    [
        ("10.0.0.1", ["a"]),
        ("10.0.0.1", 5),
        ("10.0.0.1", "z" * 5000),
        ("0.0.0.0", "a"),
        ("255.255.255.255", "a"),
        ("224.0.0.1", "a"),
        ("localhost", "a"),
    ],
)
def test_an_odd_entry_names_no_gateway(name, zone):
    """Guards against datagrams to an address that is no gateway's."""
    value = {"specification": {"zone": zone}}
    with pytest.raises(direct.MalformedEntryError):
        CODEC.read_member(make_stored(value, "gateways", name))


@pytest.mark.parametrize(
    "change",
    [
        {"expiresAt": 1e300},
        {"expiresAt": 10**400},
        {"crashes": [{"server": "i", "born": 1, "brokeAt": 1e306, "order": 0}]},
        {"crashes": [{"server": 5, "born": 1, "brokeAt": 1, "order": 0}]},
        {"crashes": [{"server": "i", "born": 1, "brokeAt": 1, "order": 256}]},
        {
            "crashes": [
                {"server": "i" * 5000, "born": 1, "brokeAt": 1, "order": 0}
            ]
        },
    ],
)
def test_a_crash_record_out_of_bounds_is_rejected(change):
    """Guards against times that cannot be told to other gateways."""
    value = {"specification": {"crashes": [], "expiresAt": 5.0, **change}}
    stored = make_stored(value, "crashes", "ab" * direct.FINGERPRINT_BYTES)
    with pytest.raises(direct.MalformedEntryError):
        CODEC.read_crash_record(stored, unix_offset=0.0)


@pytest.mark.parametrize(
    ("path", "text"),
    [
        (("version",), b"7" * 401),
        (("version",), b"18446744073709551616"),
        (("version",), b"-1"),
        (("listeners", 0, "rules", 0, "targetLatencyS"), b"1e999"),
        (("listeners", 0, "rules", 0, "targetLatencyS"), b"7" * 400),
        (("listeners", 0, "rules", 0, "priority"), b"7" * 400),
        (("limits", "maxBodyBytes"), b"7" * 400),
        (("limits", "idleTimeoutS"), b"NaN"),
        (("limits",), b"[" * 3000 + b"]" * 3000),
        (("more",), b"7" * 5000),
        (("upstreamClusters", 0, "warmupPerS"), b"Infinity"),
    ],
)
def test_a_configuration_out_of_bounds_is_refused(path, text):
    """Guards against a number in a configuration that ends the process."""
    document = standin.make_configuration(7, [("/x/", "idempotent", "s", {})])
    target = document["specification"]
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = "@"
    data = json.dumps(document).encode().replace(b'"@"', text)
    with pytest.raises(direct.MalformedEntryError):
        CODEC.read_configuration(make_bytes(data, "config", "main"))


def test_a_configuration_is_read_whole():
    """Guards against losing routes, traffic shares or limits."""
    split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    document = standin.make_configuration(
        7,
        [
            ("/x/", "idempotent", None, {"trafficSplit": split}),
            ("/y/", "non_idempotent", "t", {"timeoutS": 1.5}),
            ("/z/", "download", "t", {}),
        ],
        host="H.example",
        idleTimeoutS=9,
    )
    read = CODEC.read_configuration(make_stored(document, "config", "main"))
    assert read.version == 7
    x, y, z = read.hosts["h.example"]
    assert [(s.service, s.weight) for s in x.shares] == [("s", 90), ("t", 10)]
    assert (x.repeatable, y.repeatable, z.repeatable) == (True, False, True)
    assert (y.wait_seconds, y.max_attempts, y.target_seconds) == (1.5, 2, 0.6)
    assert read.limits.idle_seconds == 9
    assert read.services["s"].cold_calls_per_second == 2.0


def test_a_configuration_that_cannot_be_read_is_refused():
    """Guards against an invalid configuration that replaces a valid one."""
    document = standin.make_configuration(
        7, [("/x/", "idempotent", "missing", {})]
    )
    with pytest.raises(direct.MalformedEntryError):
        CODEC.read_configuration(make_stored(document, "config", "main"))
    document["specification"]["listeners"] = 3
    with pytest.raises(direct.MalformedEntryError):
        CODEC.read_configuration(make_stored(document, "config", "main"))
    assert CODEC.read_configuration(make_stored({}, "config", "other")) is None


def make_crash_record():
    return direct.CrashRecord(
        fingerprint=b"f" * direct.FINGERPRINT_BYTES,
        crashes=tuple(
            direct.Crash(
                server_id=f"i-{order}",
                started_unix_ms=5,
                broke_at=100.0 + order,
                order=order,
            )
            for order in range(3)
        ),
        expires_at=700.0,
    )


def test_crash_records_outlast_the_boot_clock():
    """Guards against evidence that a VM which has just started misreads."""
    record = make_crash_record()
    value = json.loads(CODEC.write_crash_record(record, unix_offset=1000.0))
    stored = make_stored(value, "crashes", record.fingerprint.hex())
    read = CODEC.read_crash_record(stored, unix_offset=1090.0)
    assert (read.fingerprint, read.count) == (record.fingerprint, 3)
    assert [crash.broke_at for crash in read.crashes] == [10.0, 11.0, 12.0]
    assert read.expires_at == 610.0
    for name in ("x", "ff"):
        with pytest.raises(direct.MalformedEntryError):
            CODEC.read_crash_record(
                make_stored(value, "crashes", name), unix_offset=0.0
            )


def test_gateways_can_read_their_entries():
    """Guards against entries that other gateways cannot read."""
    member = direct.Member(
        ip="10.0.0.1", zone="a", started_unix_ms=1, beat=2, ready=True
    )
    value = json.loads(CODEC.write_member(member))
    read = CODEC.read_member(make_stored(value, "gateways", "10.0.0.1"))
    assert (read.ip, read.zone, read.ready) == ("10.0.0.1", "a", False)
    with pytest.raises(direct.MalformedEntryError):
        CODEC.read_member(make_stored(value, "gateways", "x"))
