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
    """No peer has the gateway id."""

    code = "peer_unknown"


class PeerUnreachableError(PeerError):
    """No connection to the peer could be opened."""

    code = "peer_unreachable"


class PeerBusyError(PeerError):
    """A limit on connections, requests or queued messages is reached."""

    code = "peer_busy"


class AuthenticationError(PeerError):
    """The other side did not authenticate with the shared secret."""

    code = "peer_authentication_failed"


class WrongPeerError(PeerError):
    """The gateway at an address is not the expected one."""

    code = "peer_wrong_gateway"


class FrameError(PeerError):
    """A message cannot be decoded or is not expected at this point."""

    code = "peer_malformed_frame"


class FrameTooLargeError(FrameError):
    """A message is larger than the limit."""

    code = "peer_frame_too_large"


class LinkClosedError(PeerError):
    """The connection ended or failed."""

    code = "peer_link_closed"


class LinkSilentError(PeerError):
    """The connection is open, but the peer does not respond in time."""

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
        super().__init__(
            f"the peer answered with error {remote_code!r}", run=run
        )
        self.remote_code = remote_code
