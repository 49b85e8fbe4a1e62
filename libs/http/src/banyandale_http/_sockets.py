"""TCP sockets with the options that all connections use."""

import fcntl
import socket
import struct
import termios

import curio
import curio.socket

import banyandale_core as core

# The kernel closes a connection whose data is unacknowledged for longer. This
# bounds how long a connection to an unreachable host stays open.
TCP_USER_TIMEOUT_MS = 10_000
LISTEN_BACKLOG = 1024
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
# TCP keep-alive: idle time before the first probe, interval of the probes, and
# number of unanswered probes after which the kernel closes the connection.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# On Linux, a TCP_USER_TIMEOUT decides when keep-alive gives up, whatever the
# number of probes.
KEEPALIVE_TIMEOUT_MS = (
    KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS * KEEPALIVE_PROBES
) * 1000


def parse_address(address: str) -> tuple[str, int]:
    """Splits `ip:port` into host and port.

    Raises:
        ValueError: The address is not of this form.
    """
    host, separator, port = address.rpartition(":")
    if not (
        separator
        and host
        and len(port) <= MAX_PORT_DIGITS
        and port.isascii()
        and port.isdecimal()
        and int(port) <= MAX_PORT
    ):
        raise ValueError(f"address {address!r} is not of the form ip:port")
    return host.strip("[]"), int(port)


def set_options(sock: curio.io.Socket) -> None:
    """Sets the TCP options that all connections use."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


def set_keepalive(sock: curio.io.Socket) -> None:
    """Makes the kernel detect an unreachable host within seconds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, KEEPALIVE_TIMEOUT_MS
    )


async def open_socket(
    *, address: str, source: str | None, deadline: float
) -> curio.io.Socket:
    """Opens a TCP connection.

    Args:
        address: Destination as `ip:port`.
        source: Local IP address, or None for the system's choice.
        deadline: Monotonic seconds.

    Raises:
        OSError: The connection was refused or reset.
        curio.TaskTimeout: The deadline passed.
    """
    host, port = parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = curio.socket.socket(family, socket.SOCK_STREAM)
    try:
        if source is not None:
            # Delays the choice of the port until connect, so that ports can
            # be shared by connections to different destinations.
            sock.setsockopt(
                socket.IPPROTO_IP, socket.IP_BIND_ADDRESS_NO_PORT, 1
            )
            sock.bind((source, 0))
        async with core.timeout_at(deadline):
            await sock.connect((host, port))
        set_options(sock)
    except BaseException:
        await sock.close()
        raise
    return sock


def open_listener(address: str) -> curio.io.Socket:
    """Opens a listening socket on `ip:port`."""
    host, port = parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = curio.socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


def peek(sock: curio.io.Socket) -> bytes | None:
    """Peeks at the next unread byte without blocking.

    Returns:
        None if no data is unread, b"" if the other side closed or reset the
        connection, else the byte.
    """
    try:
        return sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""


def has_undelivered(sock: curio.io.Socket) -> bool:
    """Whether sent bytes are not yet acknowledged by the other side.

    False on systems that cannot tell.
    """
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return False
    return struct.unpack("i", count)[0] > 0


def send_nonblocking(sock: curio.io.Socket, data: bytes | memoryview) -> int:
    """Sends as much as fits into the send buffer, without blocking.

    Most messages fit whole, and setting up a timeout costs more than the
    system call.

    Returns:
        The number of bytes sent.

    Raises:
        OSError: The connection failed.
    """
    try:
        return sock._socket.send(data)
    except (BlockingIOError, InterruptedError):
        return 0


async def receive(
    sock: curio.io.Socket, *, limit: int, deadline: float
) -> bytes:
    """Receives up to `limit` bytes; b"" at the end of the stream.

    Raises:
        OSError: The connection failed.
        curio.TaskTimeout: The deadline (monotonic seconds) passed.
    """
    try:
        return sock._socket.recv(limit)
    except (BlockingIOError, InterruptedError):
        pass
    async with core.timeout_at(deadline):
        return await sock.recv(limit)
