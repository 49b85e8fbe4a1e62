"""HTTP/1.1 connections and pools with h11 on curio."""

from banyandale_http._client import ClientConnection
from banyandale_http._errors import CallerGoneError
from banyandale_http._errors import ConnectError
from banyandale_http._errors import HttpError
from banyandale_http._errors import MalformedRequestError
from banyandale_http._errors import MalformedResponseError
from banyandale_http._errors import RequestTimeoutError
from banyandale_http._errors import RequestTooLargeError
from banyandale_http._errors import ResponseTimeoutError
from banyandale_http._errors import ResponseTooLargeError
from banyandale_http._errors import SendError
from banyandale_http._errors import TruncatedResponseError
from banyandale_http._messages import Headers
from banyandale_http._messages import Request
from banyandale_http._messages import Response
from banyandale_http._messages import ResponseHead
from banyandale_http._pool import Pool
from banyandale_http._server import ServerConnection
from banyandale_http._sockets import open_listener
from banyandale_http._sockets import open_socket
from banyandale_http._sockets import parse_address
from banyandale_http._sockets import peek
from banyandale_http._sockets import set_options

__all__ = [
    "CallerGoneError",
    "ClientConnection",
    "ConnectError",
    "Headers",
    "HttpError",
    "MalformedRequestError",
    "MalformedResponseError",
    "Pool",
    "Request",
    "RequestTimeoutError",
    "RequestTooLargeError",
    "Response",
    "ResponseHead",
    "ResponseTimeoutError",
    "ResponseTooLargeError",
    "SendError",
    "ServerConnection",
    "TruncatedResponseError",
    "open_listener",
    "open_socket",
    "parse_address",
    "peek",
    "set_options",
]
