"""Exchange of the configuration between gateways over control links."""

from collections.abc import Mapping
from collections.abc import Sequence
import json

import banyandale_config as config
import banyandale_core as core
import banyandale_peer as peer

ROOT_REQUEST = "config_root"
PARTS_REQUEST = "config_parts"
# Leaves room for the message envelope within the size limit of a link.
MAX_PARTS_BYTES = 512 * 1024


class ConfigPeer:
    """Fetches the configuration from one peer."""

    def __init__(self, *, node: peer.PeerNode, peer_id: str) -> None:
        self._node = node
        self._peer_id = peer_id

    async def fetch_root(self, *, deadline: float) -> bytes | None:
        """Returns the peer's current configuration root, or None."""
        return await self._request(ROOT_REQUEST, b"", deadline) or None

    async def fetch_parts(
        self, names: Sequence[str], *, deadline: float
    ) -> Mapping[str, bytes]:
        """Returns those of the named configuration parts that the peer has.

        A large set needs several requests.
        """
        found: dict[str, bytes] = {}
        wanted = list(names)
        while wanted:
            payload = json.dumps(wanted).encode()
            reply = await self._request(PARTS_REQUEST, payload, deadline)
            received = json.loads(reply or b"{}")
            if not received:
                break
            found.update(
                (name, text.encode()) for name, text in received.items()
            )
            wanted = [name for name in wanted if name not in found]
        return found

    async def _request(
        self, kind: str, payload: bytes, deadline: float
    ) -> bytes:
        try:
            return await self._node.request(
                self._peer_id, kind, payload, deadline=deadline
            )
        except peer.PeerError:
            return b""


class ConfigServer:
    """Serves the current configuration to peers."""

    def __init__(self, *, node: peer.PeerNode, metrics: core.Metrics) -> None:
        self._node = node
        self._metrics = metrics
        self._follower: config.Follower | None = None
        node.on_request(ROOT_REQUEST, self._serve_root)
        node.on_request(PARTS_REQUEST, self._serve_parts)

    def attach(self, follower: config.Follower) -> None:
        """Sets the source of the configuration."""
        self._follower = follower

    def list_peers(self) -> tuple[ConfigPeer, ...]:
        """Returns the peers that are currently reachable."""
        return tuple(
            ConfigPeer(node=self._node, peer_id=state.gateway_id)
            for state in self._node.peers()
            if not state.suspected
        )

    async def _serve_root(self, request: peer.ControlRequest) -> bytes:
        del request
        self._metrics.incr("config_root_served")
        root = self._follower.root() if self._follower else None
        return root or b""

    async def _serve_parts(self, request: peer.ControlRequest) -> bytes:
        names = json.loads(request.payload)
        parts = self._follower.parts(names) if self._follower else {}
        chosen: dict[str, str] = {}
        size = 0
        for name, value in parts.items():
            size += len(value)
            if chosen and size > MAX_PARTS_BYTES:
                break
            chosen[name] = value.decode()
        return json.dumps(chosen).encode()
