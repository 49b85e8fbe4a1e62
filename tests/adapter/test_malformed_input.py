"""Tests of decoders with input that no correct sender produces."""

import copy
import dataclasses
import json
import random
import types

import hypothesis
from hypothesis import strategies
import standin

import banyandale_adapter as adapter
import banyandale_core as core
import banyandale_direct as direct
from banyandale_direct import _admission as admission
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _digests as digests
from banyandale_direct import _members as members
from banyandale_direct import _named_limits as named_limits
from banyandale_direct import _registry as registry
from banyandale_direct import _replicas as replicas
from banyandale_direct import _store_updates as store_updates
from banyandale_direct import _versions as versions
import banyandale_http as http
import banyandale_platform as platform

ZONES = {"a": "r", "b": "r"}
# Fixed examples in CI; `--hypothesis-seed` draws others.
FIXED = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=6), inner, max_size=3
        )
    ),
    max_leaves=8,
)


def list_paths(value, path=()):
    """Returns the paths of all values in a JSON document."""
    paths = [path]
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    else:
        children = ()
    for key, child in children:
        paths += list_paths(child, (*path, key))
    return paths


def replace(document, path, value):
    """Returns a copy of a document with one value replaced."""
    if not path:
        return value
    changed = copy.deepcopy(document)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return changed


def make_server_entry():
    server = standin.ServerStandin("i-1")
    server.address = "127.0.0.1:80"
    return server.make_entry("s")


def make_configuration():
    rules = [("/r/", "idempotent", "s", {})]
    return standin.make_configuration(3, rules)


DOCUMENTS = {
    "servers": make_server_entry(),
    "config": make_configuration(),
    "gateways": {"specification": {"zone": "a", "startedUnixMs": 1}},
    "crashes": {
        "specification": {
            "crashes": [{"server": "i", "born": 1, "brokeAt": 1.5, "order": 0}],
            "expiresAt": 2.5,
        }
    },
}


def read_document(kind, document):
    """Decodes a stored object as the gateway does."""
    codec = adapter.StoreCodec()
    stored = platform.StoredObject(
        kind=kind,
        name="main" if kind == "config" else "10.0.0.1",
        version=1,
        value=document,
    )
    if kind == "servers":
        return codec.read_server(stored, zones=ZONES)
    if kind == "config":
        return codec.read_configuration(stored)
    if kind == "crashes":
        stored = dataclasses.replace(stored, name="ab" * 16)
        return codec.read_crash_record(stored, unix_offset=0.0)
    return codec.read_member(stored)


@FIXED
@hypothesis.given(
    kind=strategies.sampled_from(sorted(DOCUMENTS)),
    choice=strategies.randoms(use_true_random=False),
    value=VALUES,
)
def test_a_changed_field_is_read_or_rejected(kind, choice, value):
    """Guards against an entry of another writer that ends a task."""
    document = DOCUMENTS[kind]
    path = choice.choice(list_paths(document))
    changed = json.dumps(replace(document, path, value)).encode()
    try:
        read_document(kind, changed)
    except direct.MalformedEntryError:
        return


@FIXED
@hypothesis.given(
    kind=strategies.sampled_from(sorted(DOCUMENTS)),
    data=strategies.binary(max_size=60),
)
def test_bytes_that_are_no_document_are_rejected(kind, data):
    """Guards against an entry that cannot be decoded at all."""
    try:
        read_document(kind, data)
    except direct.MalformedEntryError:
        return


ODD_TEXTS = strategies.sampled_from(
    [
        b"[" * 3000 + b"]" * 3000,
        b'{"a":' * 3000 + b"1" + b"}" * 3000,
        b"7" * 5000,
        b"7" * 401,
        b"-7",
        b"1e999",
        b"NaN",
        b"null",
        b"[]",
        b"{}",
        b'"\xf1"',
        rb'"\ud800"',
        b'"a\x00]}b"',
        rb'"\"}]\\"',
        b"\xff\xfe",
        b'"127.0.0.1:65536"',
    ]
) | VALUES.map(lambda value: json.dumps(value).encode())


def make_listing(number, path, text):
    """Returns a listing in which one value of one item is changed.

    The item has its metadata in front, as all others.
    """
    items = []
    for index in range(4):
        entry = {
            "metadata": {"name": f"i-{index}", "revision": index + 1},
            **DOCUMENTS["servers"],
        }
        if index == number:
            entry = replace(entry, path, "@@")
        items.append(entry)
    data = json.dumps({"items": items, "hasMore": False, "asOf": 9}).encode()
    return data.replace(b'"@@"', text)


class Client:
    """Answers every call with the same response."""

    def __init__(self, body):
        self._response = http.Response(status=200, body=body)

    async def read(self, request, **_):
        return self._response


def run_now(coroutine):
    """Runs a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration as stopped:
        return stopped.value
    raise AssertionError("it waits")


@FIXED
@hypothesis.given(
    number=strategies.integers(0, 3),
    choice=strategies.randoms(use_true_random=False),
    text=ODD_TEXTS,
)
def test_one_changed_entry_leaves_all_others_in_use(number, choice, text):
    """Guards against one entry, odd in any place, that hides other servers."""
    whole = {"metadata": {"name": "i", "revision": 1}, **DOCUMENTS["servers"]}
    path = choice.choice(list_paths(whole))
    store = adapter.ObjectStore(address="127.0.0.1:9")
    store._client = Client(make_listing(number, path, text))
    listing = run_now(store.list(kind="servers"))
    servers = registry.Registry()
    handler = store_updates.StoreUpdateHandler(
        documents=adapter.StoreCodec(),
        servers=servers,
        loaded=types.SimpleNamespace(regions=ZONES),
        on_configuration=lambda read: None,
        events=core.EventLog(),
        metrics=core.MemoryMetrics(),
    )
    replica = replicas.Replica(kind="servers")
    replica.apply_listing(listing)
    # As another gateway gets it.
    delta = digests.decode_delta(digests.encode_delta(replica.delta(None)))
    for objects in (
        listing.objects,
        tuple(change.object for change in delta.changes),
    ):
        handler.apply_listing("servers", objects, versions.Version(0, 9))
        found = {entry.server.id for entry in servers.find("s", now=0.0)}
        # The name itself may have been changed into another one.
        others = {f"i-{index}" for index in range(4) if index != number}
        assert others <= found
        assert len(found) <= 4


def make_datagram():
    known = [
        members.Member(
            ip=f"10.0.0.{number}",
            zone="ab"[number % 2],
            started_unix_ms=number,
            beat=number,
            ready=True,
        )
        for number in range(1, 9)
    ]
    return digests.encode_digest(
        digests.Digest(
            sender="10.0.0.1",
            reading=True,
            members=members.MemberBlock.from_members(known, zones=("a", "b")),
            held={"servers": versions.Version(1, 5)},
            limits=(
                named_limits.Notice(
                    server_id="i-1",
                    started_unix_ms=1,
                    calls_per_second=1.5,
                    said_at=0.0,
                ),
            ),
            crashes=(
                crash_records.CrashRecord(
                    fingerprint=b"f" * 16,
                    crashes=(
                        crash_records.Crash(
                            server_id="i-1",
                            started_unix_ms=1,
                            broke_at=0.0,
                            order=0,
                        ),
                    ),
                    expires_at=10.0,
                ),
            ),
        )
    )


@FIXED
@hypothesis.given(
    data=strategies.binary(max_size=200),
    seed=strategies.integers(0, 1000),
)
def test_a_datagram_is_read_or_rejected(data, seed):
    """Guards against one datagram that ends the exchange with all gateways."""
    whole = make_datagram()
    source = random.Random(seed)
    broken = bytearray(whole)
    for _ in range(source.randrange(1, 4)):
        broken[source.randrange(len(broken))] = source.randrange(256)
    cut = whole[: source.randrange(len(whole))]
    for datagram in (data, bytes(broken), cut, whole + data):
        try:
            digest = digests.decode_digest(datagram, zones=("a", "b"))
        except digests.MalformedDigestError:
            continue
        table = members.MemberTable(
            own=members.Member(
                ip="10.0.0.1", zone="a", started_unix_ms=1, beat=0, ready=True
            ),
            random_source=source,
        )
        table.merge(digest.members, now=1.0)
        table.draw_targets(now=1.0)


@FIXED
@hypothesis.given(
    load=strategies.binary(max_size=30) | strategies.from_regex(rb"[0-9,.e-]*"),
    warmup=strategies.binary(max_size=10),
    status=strategies.integers(100, 599),
)
def test_a_load_report_is_always_read(load, warmup, status):
    """Guards against a server whose report ends the calls that probe it."""
    report = adapter.ServerCodec().read_report(
        http.Response(
            status=status,
            headers=((b"x-server-load", load), (b"x-warmup-ms", warmup)),
        )
    )
    admission.check_report(
        report, server_id="i", work_seconds=0.1, now=0.0, deadline=1.0
    )
    timing = admission.CallTiming(
        target_at=0.6, answer_by=1.0, work_seconds=0.1
    )
    admission.decide(report, timing, now=0.0)


@FIXED
@hypothesis.given(
    target=strategies.binary(max_size=40),
    host=strategies.binary(max_size=20),
    deadline=strategies.binary(max_size=10),
    call_id=strategies.binary(max_size=20),
)
def test_a_request_is_read_or_rejected(target, host, deadline, call_id):
    """Guards against a caller that ends its connection without an answer."""
    request = http.Request(
        method=b"GET",
        target=target,
        headers=(
            (b"host", host),
            (b"x-deadline-ms", deadline),
            (b"x-request-id", call_id),
        ),
    )
    codec = adapter.CallerCodec()
    codec.read_lookup(request)
    try:
        codec.read_call(request)
    except direct.MalformedCallError:
        return
