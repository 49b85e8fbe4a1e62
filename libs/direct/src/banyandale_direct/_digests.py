"""Encoding of the messages between gateways."""

import dataclasses
import importlib.resources
import math
import zlib

import capnp

import banyandale_core as core
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _fingerprints as fingerprints
from banyandale_direct import _members as members
from banyandale_direct import _named_limits as named_limits
from banyandale_direct import _replicas as replicas
from banyandale_direct import _versions as versions
import banyandale_platform as platform

capnp.remove_import_hook()

_SCHEMA = capnp.load(
    str(importlib.resources.files("banyandale_direct") / "members.capnp")
)

# Traversal limit for reading a message, in words of 8 bytes.
MAX_MESSAGE_WORDS = 4 * 1024 * 1024
# A configuration of a thousand routes is 250 kB of repetitive text; the fastest
# zlib level compresses it to a tenth.
COMPRESSION_LEVEL = 1
# Largest size of a decompressed message: a replica, and a datagram.
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
MAX_DIGEST_BYTES = 1024 * 1024


class MalformedDigestError(ValueError):
    """The bytes are not a message between gateways."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Digest:
    """A gateway's membership and store versions, sent to other gateways.

    Attributes:
        sender: IP address of the sender.
        reading: Whether the sender reads the store and gets answers.
        members: Gateways that the sender knows to be alive.
        held: Store version up to which the sender holds each kind.
        deltas: Changes that the sender has just received.
        limits: What servers last said about their limits.
        configuration: Version that operators gave the configuration in force; 0
            without one.
        crashes: Contents under which servers have ended.
        records_loaded: Whether the sender has the records of earlier processes.
        records_complete: Whether these are all records of the sender.
    """

    sender: str
    reading: bool
    members: members.MemberBlock
    held: dict[str, versions.Version]
    deltas: tuple[replicas.Delta, ...] = ()
    limits: tuple[named_limits.Notice, ...] = ()
    configuration: int = 0
    crashes: tuple[crash_records.CrashRecord, ...] = ()
    records_loaded: bool = False
    records_complete: bool = False


def _compress(message: object) -> bytes:
    return zlib.compress(message.to_bytes_packed(), COMPRESSION_LEVEL)


def _decompress(data: bytes, *, limit: int) -> bytes:
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, limit)
    if not decompressor.eof:
        raise MalformedDigestError(
            "message is truncated or larger than the limit"
        )
    return decompressed


def encode_digest(digest: Digest) -> bytes:
    """Encodes a digest as a datagram."""
    message = _SCHEMA.Digest.new_message()
    message.sender = members.pack_ip(digest.sender)
    message.reading = digest.reading
    message.configuration = digest.configuration
    message.members = digest.members.to_bytes()
    message.impaired = digest.members.pack_impaired()
    held = message.init("held", len(digest.held))
    for entry, (kind, version) in zip(held, digest.held.items(), strict=True):
        entry.kind = kind
        entry.era, entry.version = version
    deltas = message.init("deltas", len(digest.deltas))
    for entry, delta in zip(deltas, digest.deltas, strict=True):
        _fill_delta(entry, delta)
    boot_now = core.boot_seconds()
    limits = message.init("limits", len(digest.limits))
    for entry, notice in zip(limits, digest.limits, strict=True):
        entry.server = notice.server_id
        entry.startedUnixMs = notice.started_unix_ms
        entry.limited = notice.calls_per_second is not None
        entry.callsPerSecond = notice.calls_per_second or 0.0
        entry.ageMs = _to_milliseconds(boot_now - notice.said_at)
    message.recordsLoaded = digest.records_loaded
    message.recordsComplete = digest.records_complete
    records = message.init("crashRecords", len(digest.crashes))
    for entry, record in zip(records, digest.crashes, strict=True):
        _fill_crash_record(entry, record, boot_now)
    return _compress(message)


def _to_milliseconds(seconds: float) -> int:
    """Returns a duration as a whole number; 0 for negative ones."""
    return max(int(seconds * core.MILLISECONDS_PER_SECOND), 0)


def _fill_crash_record(
    entry: object, record: crash_records.CrashRecord, boot_now: float
) -> None:
    entry.fingerprint = record.fingerprint
    entry.keepMs = _to_milliseconds(record.expires_at - boot_now)
    entry.answered = record.answered_at > -math.inf
    if entry.answered:
        entry.answeredAgeMs = _to_milliseconds(boot_now - record.answered_at)
    crashes = entry.init("crashes", len(record.crashes))
    for item, crash in zip(crashes, record.crashes, strict=True):
        item.server = crash.server_id
        item.startedUnixMs = crash.started_unix_ms
        item.ageMs = _to_milliseconds(boot_now - crash.broke_at)
        item.order = crash.order
        item.state = int(crash.state)


def decode_digest(data: bytes, *, zones: tuple[str, ...]) -> Digest:
    """Decodes a datagram.

    Raises:
        MalformedDigestError: The datagram is not a digest.
    """
    try:
        # The message is a view of these bytes, which must stay referenced.
        decompressed = _decompress(data, limit=MAX_DIGEST_BYTES)
        message = _SCHEMA.Digest.from_bytes_packed(
            decompressed, traversal_limit_in_words=MAX_MESSAGE_WORDS
        )
        if message.sender == 0:
            raise MalformedDigestError("digest has no sender")
        return Digest(
            sender=members.unpack_ip(message.sender),
            reading=message.reading,
            members=members.MemberBlock.from_bytes(
                bytes(message.members),
                zones=zones,
                impaired=bytes(message.impaired),
            ),
            held={
                entry.kind: versions.Version(entry.era, entry.version)
                for entry in message.held
            },
            configuration=message.configuration,
            deltas=tuple(_read_delta(entry) for entry in message.deltas),
            limits=tuple(_read_notice(entry) for entry in message.limits),
            crashes=tuple(
                _read_crash_record(entry) for entry in message.crashRecords
            ),
            records_loaded=message.recordsLoaded,
            records_complete=message.recordsComplete,
        )
    except (capnp.KjException, zlib.error, ValueError) as error:
        raise MalformedDigestError(str(error)) from error


def _read_notice(entry: object) -> named_limits.Notice:
    limit = entry.callsPerSecond
    if not 0 <= limit < math.inf:
        raise MalformedDigestError(f"{limit} is not a limit of a server")
    age = entry.ageMs / core.MILLISECONDS_PER_SECOND
    return named_limits.Notice(
        server_id=entry.server,
        started_unix_ms=entry.startedUnixMs,
        calls_per_second=limit if entry.limited else None,
        said_at=core.boot_seconds() - age,
    )


def _read_crash_record(entry: object) -> crash_records.CrashRecord:
    fingerprint = bytes(entry.fingerprint)
    if len(fingerprint) != fingerprints.FINGERPRINT_BYTES:
        raise MalformedDigestError(
            f"a content is named by {len(fingerprint)} bytes"
        )
    boot_now = core.boot_seconds()
    answered_age = entry.answeredAgeMs / core.MILLISECONDS_PER_SECOND
    keep_seconds = min(
        entry.keepMs / core.MILLISECONDS_PER_SECOND, crash_records.KEEP_SECONDS
    )
    return crash_records.CrashRecord(
        fingerprint=fingerprint,
        crashes=tuple(
            crash_records.Crash(
                server_id=item.server,
                started_unix_ms=item.startedUnixMs,
                broke_at=boot_now - item.ageMs / core.MILLISECONDS_PER_SECOND,
                order=item.order,
                state=crash_records.CrashState(item.state),
            )
            for item in entry.crashes
        ),
        answered_at=boot_now - answered_age if entry.answered else -math.inf,
        expires_at=boot_now + keep_seconds,
    )


def _fill_delta(entry: object, delta: replicas.Delta) -> None:
    entry.kind = delta.kind
    entry.since = delta.since.revision
    entry.era, entry.version = delta.version
    entry.complete = delta.complete
    items = entry.init("items", len(delta.changes))
    for item, change in zip(items, delta.changes, strict=True):
        item.name = change.object.name
        item.version = change.object.version
        item.deleted = change.type is platform.ChangeType.DELETE
        item.value = change.object.value


def _read_delta(entry: object) -> replicas.Delta:
    return replicas.Delta(
        kind=entry.kind,
        since=versions.Version(entry.era, entry.since),
        version=versions.Version(entry.era, entry.version),
        complete=entry.complete,
        changes=tuple(
            platform.Change(
                type=platform.ChangeType.DELETE
                if item.deleted
                else platform.ChangeType.PUT,
                object=platform.StoredObject(
                    kind=entry.kind,
                    name=item.name,
                    version=item.version,
                    value=bytes(item.value),
                ),
            )
            for item in entry.items
        ),
    )


def encode_delta(delta: replicas.Delta) -> bytes:
    """Encodes a delta as the body of an HTTP response."""
    message = _SCHEMA.Delta.new_message()
    _fill_delta(message, delta)
    return _compress(message)


def decode_delta(data: bytes) -> replicas.Delta:
    """Decodes a delta from the body of an HTTP response.

    Raises:
        MalformedDigestError: The bytes are not a delta.
    """
    try:
        decompressed = _decompress(data, limit=MAX_MESSAGE_BYTES)
        message = _SCHEMA.Delta.from_bytes_packed(
            decompressed, traversal_limit_in_words=MAX_MESSAGE_WORDS
        )
        return _read_delta(message)
    except (capnp.KjException, zlib.error, ValueError) as error:
        raise MalformedDigestError(str(error)) from error
