"""TCP sockets with the options that all connections use."""

import socket

import curio
import curio.socket

import banyandale_core as core

# Unacknowledged data for longer than this closes the connection. It bounds
# how long a connection whose other end vanished can look open.
TCP_USER_TIMEOUT_MS = 10_000
LISTEN_BACKLOG = 1024
# Keep-alive probes of idle connections: the first after this many seconds,
# then one a second; this many unanswered ones close the connection.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def parse_address(address: str) -> tuple[str, int]:
    """Splits `ip:port`.

    Raises:
        ValueError: The text is not of that form.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise ValueError(f"address {address!r} is not of the form ip:port")
    return host.strip("[]"), int(port)


def set_options(sock: curio.io.Socket) -> None:
    """Sets the options of a connected socket."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


def set_keepalive(sock: curio.io.Socket) -> None:
    """Lets the kernel notice within seconds that the other end vanished."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


async def open_socket(
    *, address: str, source: str | None, deadline: float
) -> curio.io.Socket:
    """Opens a TCP connection.

    Args:
        address: Destination as `ip:port`.
        source: Local IP number, or None for the system's choice.
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
    """Returns one waiting byte without taking it.

    Returns:
        None when nothing waits, b"" when the other side closed or reset the
        connection, else the byte.
    """
    try:
        return sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return None
    except OSError:
        return b""


def send_now(sock: curio.io.Socket, data: bytes | memoryview) -> int:
    """Sends as much as fits into the socket's buffer, without waiting.

    Most messages fit, and a timeout costs more than the system call.

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
