"""Errors of peer links."""

import banyandale_core as core


class PeerError(core.CodedError):
    """Base of all errors of this library.

    Attributes:
        run: Whether the call or request may have run at the peer.
    """

    code = "peer_error"

    def __init__(
        self, message: str, *, run: core.RunMark = core.RunMark.NOT_RUN
    ) -> None:
        super().__init__(message)
        self.run = run


class UnknownPeerError(PeerError):
    """The gateway id is not among the peers."""

    code = "peer_unknown"


class PeerUnreachableError(PeerError):
    """No connection to the peer could be opened."""

    code = "peer_unreachable"


class PeerBusyError(PeerError):
    """The limit on connections or requests of one peer is reached."""

    code = "peer_busy"


class AuthenticationError(PeerError):
    """The other side could not prove that it has the secret."""

    code = "peer_authentication_failed"


class WrongPeerError(PeerError):
    """Another gateway than the expected one uses the address."""

    code = "peer_wrong_gateway"


class FrameError(PeerError):
    """A message cannot be decoded or does not belong here."""

    code = "peer_malformed_frame"


class FrameTooLargeError(FrameError):
    """A message is larger than the limit."""

    code = "peer_frame_too_large"


class LinkClosedError(PeerError):
    """The connection ended or failed."""

    code = "peer_link_closed"


class LinkSilentError(PeerError):
    """The connection is open, but nothing arrives in time."""

    code = "peer_link_silent"


class PeerTimeoutError(PeerError):
    """The deadline passed without a complete answer."""

    code = "peer_timeout"


class RemoteError(PeerError):
    """The peer answered with an error.

    Attributes:
        remote_code: Code of the error at the peer.
    """

    code = "peer_remote_error"

    def __init__(self, remote_code: str, *, run: core.RunMark) -> None:
        super().__init__(f"the peer answered {remote_code!r}", run=run)
        self.remote_code = remote_code
