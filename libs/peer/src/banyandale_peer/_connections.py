"""Connections that carry frames, and the proof of the shared secret."""

import dataclasses
import hashlib
import hmac
import secrets
import socket
import struct
from typing import Any
from typing import Self

import curio
import curio.io
import curio.socket

import banyandale_core as core
from banyandale_peer import _errors as errors
from banyandale_peer import _messages as messages

RECEIVE_BYTES = 65536
LENGTH = struct.Struct(">I")
# Before the proof the other side may be anybody.
MAX_HANDSHAKE_FRAME_BYTES = 4096
MAX_CALL_FRAME_BYTES = 512 * 1024
# A configuration part is one platform value of up to 1 MB.
MAX_CONTROL_FRAME_BYTES = 2 * 1024 * 1024
MAX_FRAME_BYTES = {
    "control": MAX_CONTROL_FRAME_BYTES,
    "call": MAX_CALL_FRAME_BYTES,
}
NONCE_BYTES = 32
# Unacknowledged data for longer than this closes the connection.
TCP_USER_TIMEOUT_MS = 10_000
LISTEN_BACKLOG = 1024


def _parse_address(address: str) -> tuple[str, int, socket.AddressFamily]:
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise ValueError(f"address {address!r} is not of the form ip:port")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return host, int(port), family


def open_listener(address: str) -> curio.io.Socket:
    """Opens a listening socket on `ip:port`."""
    host, port, family = _parse_address(address)
    sock = curio.socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


class Connection:
    """One connection that carries frames.

    `receive` may be cancelled and called again: what has arrived of a frame
    is kept. A cancelled `send` leaves half a frame behind, so the connection
    must be closed; `is_open` is false then.
    """

    def __init__(self, *, sock: curio.io.Socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._sock = sock
        self._buffer = bytearray()
        self._limit = MAX_HANDSHAKE_FRAME_BYTES
        self._open = True

    @classmethod
    async def open(
        cls, *, address: str, source: str | None, deadline: float
    ) -> Self:
        """Opens a connection to `ip:port`.

        Raises:
            PeerUnreachableError: Refused, reset or not open at the deadline.
        """
        host, port, family = _parse_address(address)
        sock = curio.socket.socket(family, socket.SOCK_STREAM)
        try:
            if source is not None:
                # Delays the choice of the port until connect, so that ports
                # can be shared by connections to different destinations.
                sock.setsockopt(
                    socket.IPPROTO_IP, socket.IP_BIND_ADDRESS_NO_PORT, 1
                )
                sock.bind((source, 0))
            async with core.timeout_at(deadline):
                await sock.connect((host, port))
            return cls(sock=sock)
        except (OSError, curio.TaskTimeout) as error:
            await sock.close()
            raise errors.PeerUnreachableError(
                f"{address}: {error!r}"
            ) from error
        except BaseException:
            await sock.close()
            raise

    def set_limit(self, limit: int) -> None:
        """Sets the largest frame in bytes that is accepted."""
        self._limit = limit

    @property
    def is_open(self) -> bool:
        """Whether whole frames were sent and nobody closed it here."""
        return self._open

    def is_quiet(self) -> bool:
        """Whether nothing waits and the other side has not closed it."""
        if not self._open or self._buffer:
            return False
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            self._sock._socket.recv(1, flags)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    async def receive(self) -> bytes:
        """Returns the next frame.

        Raises:
            LinkClosedError: The connection ended; the mark is UNKNOWN.
            FrameTooLargeError: The frame is longer than the limit.
        """
        buffer = self._buffer
        while len(buffer) < LENGTH.size:
            buffer += await self._receive_some()
        end = LENGTH.size + LENGTH.unpack_from(buffer)[0]
        if end > self._limit:
            raise errors.FrameTooLargeError(
                f"frame of {end} bytes is over {self._limit}",
                run=core.RunMark.UNKNOWN,
            )
        while len(buffer) < end:
            buffer += await self._receive_some()
        frame = bytes(buffer[LENGTH.size : end])
        del buffer[:end]
        return frame

    async def _receive_some(self) -> bytes:
        try:
            data = await self._sock.recv(RECEIVE_BYTES)
        except OSError as error:
            raise errors.LinkClosedError(
                str(error), run=core.RunMark.UNKNOWN
            ) from error
        if not data:
            raise errors.LinkClosedError(
                "connection ended", run=core.RunMark.UNKNOWN
            )
        return data

    async def send(self, frame: bytes) -> None:
        """Sends one frame.

        Raises:
            LinkClosedError: The connection failed; the mark is UNKNOWN.
        """
        self._open = False
        try:
            await self._sock.sendall(LENGTH.pack(len(frame)) + frame)
        except OSError as error:
            raise errors.LinkClosedError(
                str(error), run=core.RunMark.UNKNOWN
            ) from error
        self._open = True

    def abort(self) -> None:
        """Ends the connection while another task is receiving on it."""
        self._open = False
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The other side has ended it already.
            pass

    async def close(self) -> None:
        """Closes the connection."""
        self._open = False
        await self._sock.close()


def _compute_mac(secret: bytes, *parts: bytes) -> bytes:
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        digest.update(LENGTH.pack(len(part)) + part)
    return digest.digest()


def _list_parts(nonce: bytes, identify: messages.Identify) -> tuple[bytes, ...]:
    return (
        nonce,
        identify.nonce,
        identify.gateway_id.encode(),
        identify.target_id.encode(),
        identify.link_kind.encode(),
        identify.address.encode(),
    )


def _prove_dialer(
    secret: bytes, nonce: bytes, identify: messages.Identify
) -> bytes:
    """Returns the proof of the dialer.

    The proofs cover everything that was said, and each names its role, so
    that neither can be replayed or reflected.
    """
    parts = _list_parts(nonce, identify)
    return _compute_mac(secret, b"banyandale-dialer", *parts)


def _prove_listener(
    secret: bytes, nonce: bytes, identify: messages.Identify, listener_id: str
) -> bytes:
    """Returns the proof of the listener, which covers its own id."""
    parts = _list_parts(nonce, identify)
    return _compute_mac(
        secret, b"banyandale-listener", *parts, listener_id.encode()
    )


async def _receive_kind(connection: Connection, kind: type) -> Any:
    message = messages.decode(await connection.receive())
    if not isinstance(message, kind):
        raise errors.FrameError(
            f"{type(message).__name__} came instead of {kind.__name__}"
        )
    return message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dialer:
    """What a gateway says of itself when it opens a connection.

    Attributes:
        gateway_id: Its id.
        address: Its advertised peer address.
        secret: Secret that all gateways share.
        source: Local IP number of the connections, or None.
    """

    gateway_id: str
    address: str
    secret: bytes
    source: str | None


async def dial(
    dialer: Dialer,
    *,
    address: str,
    target_id: str,
    link_kind: str,
    deadline: float,
) -> tuple[Connection, str]:
    """Opens a connection and proves the secret in both directions.

    Args:
        dialer: This gateway.
        address: `ip:port` of the listener.
        target_id: Id that the listener must have; empty accepts any.
        link_kind: What the connection is for.
        deadline: Monotonic seconds.

    Returns:
        The connection, and the id that the listener proved.

    Raises:
        PeerUnreachableError: Not open, or no proof by the deadline.
        AuthenticationError: The listener's proof is wrong.
    """
    connection = await Connection.open(
        address=address, source=dialer.source, deadline=deadline
    )
    try:
        async with core.timeout_at(deadline):
            listener_id = await _prove_as_dialer(
                connection, dialer, target_id, link_kind
            )
    except (
        errors.LinkClosedError,
        errors.FrameError,
        curio.TaskTimeout,
    ) as error:
        await connection.close()
        raise errors.PeerUnreachableError(
            f"{address}: no proof of the secret: {error!r}"
        ) from error
    except BaseException:
        await connection.close()
        raise
    connection.set_limit(MAX_FRAME_BYTES[link_kind])
    return connection, listener_id


async def _prove_as_dialer(
    connection: Connection, dialer: Dialer, target_id: str, link_kind: str
) -> str:
    challenge = await _receive_kind(connection, messages.Challenge)
    identify = messages.Identify(
        gateway_id=dialer.gateway_id,
        target_id=target_id,
        link_kind=link_kind,
        address=dialer.address,
        nonce=secrets.token_bytes(NONCE_BYTES),
        mac=b"",
    )
    own = _prove_dialer(dialer.secret, challenge.nonce, identify)
    proved = dataclasses.replace(identify, mac=own)
    await connection.send(messages.encode_identify(proved))
    welcome = await _receive_kind(connection, messages.Welcome)
    expected = _prove_listener(
        dialer.secret, challenge.nonce, identify, welcome.gateway_id
    )
    if not hmac.compare_digest(welcome.mac, expected):
        raise errors.AuthenticationError("the listener has another secret")
    if target_id not in ("", welcome.gateway_id):
        raise errors.WrongPeerError(
            f"{welcome.gateway_id} answered instead of {target_id}"
        )
    return welcome.gateway_id


async def prove_as_listener(
    connection: Connection, *, gateway_id: str, secret: bytes, deadline: float
) -> messages.Identify:
    """Checks the dialer's proof and sends the own one.

    Raises:
        AuthenticationError: The dialer's proof is wrong, or it sent none.
        WrongPeerError: The dialer wants another gateway.
    """
    try:
        async with core.timeout_at(deadline):
            identify = await _check_dialer(connection, gateway_id, secret)
    except curio.TaskTimeout as error:
        raise errors.AuthenticationError("no proof in time") from error
    connection.set_limit(MAX_FRAME_BYTES[identify.link_kind])
    return identify


async def _check_dialer(
    connection: Connection, gateway_id: str, secret: bytes
) -> messages.Identify:
    nonce = secrets.token_bytes(NONCE_BYTES)
    challenge = messages.Challenge(nonce=nonce)
    await connection.send(messages.encode_challenge(challenge))
    identify = await _receive_kind(connection, messages.Identify)
    expected = _prove_dialer(secret, nonce, identify)
    if not hmac.compare_digest(identify.mac, expected):
        raise errors.AuthenticationError("the dialer has another secret")
    # A dialer with the own id is this gateway, or an attacker that passes
    # this gateway's proof back to it.
    if (
        identify.target_id not in ("", gateway_id)
        or identify.gateway_id == gateway_id
    ):
        raise errors.WrongPeerError(
            f"{identify.gateway_id} wants {identify.target_id!r}"
        )
    welcome = messages.Welcome(
        gateway_id=gateway_id,
        mac=_prove_listener(secret, nonce, identify, gateway_id),
    )
    await connection.send(messages.encode_welcome(welcome))
    return identify
