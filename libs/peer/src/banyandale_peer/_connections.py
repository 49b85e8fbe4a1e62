"""Framed connections and their mutual authentication."""

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
LENGTH_PREFIX = struct.Struct(">I")
# Small, since the other side is not authenticated during the handshake.
MAX_HANDSHAKE_FRAME_BYTES = 4096
MAX_CALL_FRAME_BYTES = 512 * 1024
# A control frame may hold a configuration part, which is one platform value
# of up to 1 MB.
MAX_CONTROL_FRAME_BYTES = 2 * 1024 * 1024
MAX_FRAME_BYTES = {
    "control": MAX_CONTROL_FRAME_BYTES,
    "call": MAX_CALL_FRAME_BYTES,
}
NONCE_BYTES = 32
# The kernel closes a connection whose data is unacknowledged for longer.
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

    `receive` may be cancelled and called again, as a partial frame stays in
    the buffer. A cancelled `send` may have sent part of a frame, so `is_open`
    is false afterwards and the connection must be closed.
    """

    def __init__(self, *, sock: curio.io.Socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._sock = sock
        self._buffer = bytearray()
        self._max_frame_bytes = MAX_HANDSHAKE_FRAME_BYTES
        self._open = True

    @classmethod
    async def open(
        cls, *, address: str, source: str | None, deadline: float
    ) -> Self:
        """Opens a connection to `ip:port`.

        Raises:
            PeerUnreachableError: The connection was refused, reset or not open
                at the deadline.
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
                f"{address}: cannot connect: {error!r}"
            ) from error
        except BaseException:
            await sock.close()
            raise

    def set_max_frame_bytes(self, max_frame_bytes: int) -> None:
        """Sets the size in bytes of the largest frame that is accepted."""
        self._max_frame_bytes = max_frame_bytes

    @property
    def is_open(self) -> bool:
        """Whether no `send` was interrupted and this side has not closed it."""
        return self._open

    def is_idle(self) -> bool:
        """Whether it is open on both sides and has no unread data."""
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
            LinkClosedError: The connection ended; `run` is UNKNOWN.
            FrameTooLargeError: The frame is larger than the limit.
        """
        buffer = self._buffer
        while len(buffer) < LENGTH_PREFIX.size:
            buffer += await self._receive_data()
        end = LENGTH_PREFIX.size + LENGTH_PREFIX.unpack_from(buffer)[0]
        if end > self._max_frame_bytes:
            raise errors.FrameTooLargeError(
                f"frame of {end} bytes exceeds the limit of"
                f" {self._max_frame_bytes} bytes",
                run=core.RunMark.UNKNOWN,
            )
        while len(buffer) < end:
            buffer += await self._receive_data()
        frame = bytes(buffer[LENGTH_PREFIX.size : end])
        del buffer[:end]
        return frame

    async def _receive_data(self) -> bytes:
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
            LinkClosedError: The connection failed; `run` is UNKNOWN.
        """
        self._open = False
        try:
            await self._sock.sendall(LENGTH_PREFIX.pack(len(frame)) + frame)
        except OSError as error:
            raise errors.LinkClosedError(
                str(error), run=core.RunMark.UNKNOWN
            ) from error
        self._open = True

    def abort(self) -> None:
        """Shuts the connection down while another task may receive on it."""
        self._open = False
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The other side has already closed it.
            pass

    async def close(self) -> None:
        """Closes the connection."""
        self._open = False
        await self._sock.close()


def _compute_mac(secret: bytes, *parts: bytes) -> bytes:
    digest = hmac.new(secret, digestmod=hashlib.sha256)
    for part in parts:
        digest.update(LENGTH_PREFIX.pack(len(part)) + part)
    return digest.digest()


def _list_mac_parts(
    nonce: bytes, identify: messages.Identify
) -> tuple[bytes, ...]:
    return (
        nonce,
        identify.nonce,
        identify.gateway_id.encode(),
        identify.target_id.encode(),
        identify.link_kind.encode(),
        identify.address.encode(),
    )


def _compute_dialer_mac(
    secret: bytes, nonce: bytes, identify: messages.Identify
) -> bytes:
    """Returns the MAC that authenticates the dialer.

    Each MAC covers all fields of the handshake and the role of its sender, so
    it can be neither replayed nor reflected.
    """
    parts = _list_mac_parts(nonce, identify)
    return _compute_mac(secret, b"banyandale-dialer", *parts)


def _compute_listener_mac(
    secret: bytes, nonce: bytes, identify: messages.Identify, listener_id: str
) -> bytes:
    """Returns the MAC of the listener, which also covers the listener's id."""
    parts = _list_mac_parts(nonce, identify)
    return _compute_mac(
        secret, b"banyandale-listener", *parts, listener_id.encode()
    )


async def _receive_message(connection: Connection, kind: type) -> Any:
    message = messages.decode(await connection.receive())
    if not isinstance(message, kind):
        raise errors.FrameError(
            f"expected {kind.__name__}, received {type(message).__name__}"
        )
    return message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Dialer:
    """Identity and credentials of a gateway that opens connections.

    Attributes:
        gateway_id: Id of the gateway.
        address: Advertised peer address of the gateway.
        secret: Secret that all gateways share.
        source: Local IP address of the connections, or None for any.
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
    """Opens a connection on which both sides authenticate each other.

    Args:
        dialer: This gateway.
        address: `ip:port` of the listener.
        target_id: Id that the listener must have; empty accepts any id.
        link_kind: "control" or "call".
        deadline: Monotonic seconds.

    Returns:
        The connection and the authenticated id of the listener.

    Raises:
        PeerUnreachableError: The connection could not be opened, or the
            handshake failed or was not complete by the deadline.
        AuthenticationError: The listener's MAC is wrong.
        WrongPeerError: The listener has another id than `target_id`.
    """
    connection = await Connection.open(
        address=address, source=dialer.source, deadline=deadline
    )
    try:
        async with core.timeout_at(deadline):
            listener_id = await _authenticate_as_dialer(
                connection, dialer, target_id, link_kind
            )
    except (
        errors.LinkClosedError,
        errors.FrameError,
        curio.TaskTimeout,
    ) as error:
        await connection.close()
        raise errors.PeerUnreachableError(
            f"{address}: the handshake failed: {error!r}"
        ) from error
    except BaseException:
        await connection.close()
        raise
    connection.set_max_frame_bytes(MAX_FRAME_BYTES[link_kind])
    return connection, listener_id


async def _authenticate_as_dialer(
    connection: Connection, dialer: Dialer, target_id: str, link_kind: str
) -> str:
    challenge = await _receive_message(connection, messages.Challenge)
    identify = messages.Identify(
        gateway_id=dialer.gateway_id,
        target_id=target_id,
        link_kind=link_kind,
        address=dialer.address,
        nonce=secrets.token_bytes(NONCE_BYTES),
        mac=b"",
    )
    mac = _compute_dialer_mac(dialer.secret, challenge.nonce, identify)
    signed = dataclasses.replace(identify, mac=mac)
    await connection.send(messages.encode_identify(signed))
    welcome = await _receive_message(connection, messages.Welcome)
    expected = _compute_listener_mac(
        dialer.secret, challenge.nonce, identify, welcome.gateway_id
    )
    if not hmac.compare_digest(welcome.mac, expected):
        raise errors.AuthenticationError(
            "the listener does not have the shared secret"
        )
    if target_id not in ("", welcome.gateway_id):
        raise errors.WrongPeerError(
            f"gateway {welcome.gateway_id} answered instead of {target_id}"
        )
    return welcome.gateway_id


async def authenticate_as_listener(
    connection: Connection, *, gateway_id: str, secret: bytes, deadline: float
) -> messages.Identify:
    """Authenticates the dialer and this gateway to it.

    Raises:
        AuthenticationError: The dialer's MAC is wrong or came too late.
        WrongPeerError: The dialer expects another gateway or has the id of
            this one.
    """
    try:
        async with core.timeout_at(deadline):
            identify = await _check_dialer(connection, gateway_id, secret)
    except curio.TaskTimeout as error:
        raise errors.AuthenticationError("the handshake timed out") from error
    connection.set_max_frame_bytes(MAX_FRAME_BYTES[identify.link_kind])
    return identify


async def _check_dialer(
    connection: Connection, gateway_id: str, secret: bytes
) -> messages.Identify:
    nonce = secrets.token_bytes(NONCE_BYTES)
    challenge = messages.Challenge(nonce=nonce)
    await connection.send(messages.encode_challenge(challenge))
    identify = await _receive_message(connection, messages.Identify)
    expected = _compute_dialer_mac(secret, nonce, identify)
    if not hmac.compare_digest(identify.mac, expected):
        raise errors.AuthenticationError(
            "the dialer does not have the shared secret"
        )
    # A dialer with this gateway's id is this gateway itself, or an attacker
    # that sends this gateway's MAC back to it.
    if (
        identify.target_id not in ("", gateway_id)
        or identify.gateway_id == gateway_id
    ):
        raise errors.WrongPeerError(
            f"dialer {identify.gateway_id!r} expects gateway"
            f" {identify.target_id!r}, but this gateway is {gateway_id!r}"
        )
    welcome = messages.Welcome(
        gateway_id=gateway_id,
        mac=_compute_listener_mac(secret, nonce, identify, gateway_id),
    )
    await connection.send(messages.encode_welcome(welcome))
    return identify
