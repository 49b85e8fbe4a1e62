"""A backend server that writes its responses byte by byte as a test wants."""

import socket
import threading

import standin


class RawServer:
    """Accepts connections; subclasses serve each one in a thread.

    Attributes:
        address: Where it listens.
    """

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=100)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        raise NotImplementedError

    def make_entry(self):
        """Returns the entry in the store of a server of the second service."""
        return standin.make_server_entry(self.address, "t", slots=9)

    def close(self):
        self._listener.close()
