"""Stand-ins for platform and backend servers, load tool and demo."""

from banyandale_standins._platform import serve_platform

__all__ = [
    "serve_platform",
]
