"""Settings of one gateway, provided by the platform's adapter."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """Settings that a gateway reads at start and on reload.

    Attributes:
        node: Name of the node.
        zone: Own availability zone.
        regions: Region of each zone.
        call_address: Address for callers' connections (`ip:port`).
        ready_address: Address for the platform's readiness checks.
        lookup_address: Address for callers' lookups of gateway addresses.
        peer_address: Address to which other gateways send digests (UDP) and
            from which they fetch replicas (TCP). All gateways use the same
            ports.
        handover_address: Address for calls that other gateways hand over. All
            gateways use the same port.
        metrics_address: Address of the metrics endpoint.
        metrics_path: Path of the metrics endpoint.
        seed_ips: IP addresses of gateways that may be running.
        store_address: Address of the platform's store.
        repeat_ratio: Repeats allowed per call, over all gateways.
        repeat_slack: Repeats allowed per window beyond the ratio.
        repeat_window_seconds: Length of that window.
        grace_seconds: Time between SIGTERM and SIGKILL.
        longest_valid_seconds: Maximum validity of a lookup's answer.
    """

    node: str
    zone: str
    regions: Mapping[str, str]
    call_address: str
    ready_address: str
    lookup_address: str
    peer_address: str
    handover_address: str
    metrics_address: str
    metrics_path: str
    seed_ips: tuple[str, ...]
    store_address: str
    repeat_ratio: float
    repeat_slack: float
    repeat_window_seconds: float
    grace_seconds: float
    longest_valid_seconds: float
