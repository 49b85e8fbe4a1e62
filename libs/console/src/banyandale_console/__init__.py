"""Web console whose HTML forms edit the configuration document."""

from banyandale_console._console import Console
from banyandale_console._server import serve

__all__ = ["Console", "serve"]
