"""Authenticated links between gateways."""

from banyandale_peer._calls import AnswerReader
from banyandale_peer._control import ControlRequest
from banyandale_peer._control import NodeState
from banyandale_peer._control import RequestHandler
from banyandale_peer._errors import AuthenticationError
from banyandale_peer._errors import FrameError
from banyandale_peer._errors import FrameTooLargeError
from banyandale_peer._errors import LinkClosedError
from banyandale_peer._errors import LinkSilentError
from banyandale_peer._errors import PeerBusyError
from banyandale_peer._errors import PeerError
from banyandale_peer._errors import PeerTimeoutError
from banyandale_peer._errors import PeerUnreachableError
from banyandale_peer._errors import RemoteError
from banyandale_peer._errors import UnknownPeerError
from banyandale_peer._errors import WrongPeerError
from banyandale_peer._messages import CallAnswer
from banyandale_peer._messages import CallRequest
from banyandale_peer._messages import ChunkReader
from banyandale_peer._messages import Headers
from banyandale_peer._messages import Heartbeat
from banyandale_peer._messages import HomeReport
from banyandale_peer._node import PeerAddress
from banyandale_peer._node import PeerNode
from banyandale_peer._node import PeerState
from banyandale_peer._serving import CallHandler

__all__ = [
    "AnswerReader",
    "AuthenticationError",
    "CallAnswer",
    "CallHandler",
    "CallRequest",
    "ChunkReader",
    "ControlRequest",
    "FrameError",
    "FrameTooLargeError",
    "Headers",
    "Heartbeat",
    "HomeReport",
    "LinkClosedError",
    "LinkSilentError",
    "NodeState",
    "PeerAddress",
    "PeerBusyError",
    "PeerError",
    "PeerNode",
    "PeerState",
    "PeerTimeoutError",
    "PeerUnreachableError",
    "RemoteError",
    "RequestHandler",
    "UnknownPeerError",
    "WrongPeerError",
]
