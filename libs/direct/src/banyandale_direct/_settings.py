"""Settings of one gateway, as the platform's adapter hands them over."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """What a gateway has to know when it starts.

    Attributes:
        node: Name of the node.
        zone: Own availability zone.
        regions: Region of each zone.
        call_address: Where callers connect (`ip:port`).
        ready_address: Where the platform asks whether the node is ready.
        lookup_address: Where callers ask for addresses.
        peer_address: Where other gateways send digests (UDP) and fetch
            copies (TCP). All gateways use the same ports.
        metrics_address: Where metrics are read.
        metrics_path: Path of the metrics.
        seed_ips: IP numbers of gateways that may be running.
        store_address: The platform's store.
        repeat_ratio: Repeats allowed per call, over all gateways.
        repeat_slack: Repeats allowed per window beyond the ratio.
        repeat_window_seconds: Length of that window.
        grace_seconds: Time between SIGTERM and SIGKILL.
        longest_valid_seconds: Longest validity of a lookup's answer.
    """

    node: str
    zone: str
    regions: Mapping[str, str]
    call_address: str
    ready_address: str
    lookup_address: str
    peer_address: str
    metrics_address: str
    metrics_path: str
    seed_ips: tuple[str, ...]
    store_address: str
    repeat_ratio: float
    repeat_slack: float
    repeat_window_seconds: float
    grace_seconds: float
    longest_valid_seconds: float
