"""Chooses servers by load reports fetched right before each send.

Load pattern: shared machines become several times slower for periods of a few
hundred milliseconds, so a load report is stale when the next call comes. A call
that starts in such a period takes that many times longer as a whole. A few
servers are therefore probed right before each send, and the call goes to the
one likely to answer first. Servers of other zones are probed only when the best
of the own zone is crowded or slow, because traffic between zones is expensive.
"""

from collections.abc import Sequence
import dataclasses
import random

from banyandale_direct import _registry as registry
from banyandale_direct import _rendezvous as rendezvous
from banyandale_direct import _server_health as server_health

# Servers probed per group and call. More probes rarely find better servers and
# cost processor time (0.6 ms per report).
PROBES_PER_ROUND = 4
# Number of preferred servers of a gateway, in the own zone and in all others.
# With as many as are probed per round, a gateway with few calls keeps the
# connections to them in use.
SUBSET_SIZE = 4
# A server on which more than this share of slots is taken slows down by this
# factor (the users' site files: knee 0.8, factor 1.7).
CROWDED_SHARE = 0.8
CROWDED_FACTOR = 1.7
# Mean slowness of a machine (the users' site files: a quarter to a third of the
# time at 4).
MEAN_SLOWNESS = 1.75
# A machine up to this slowness counts as normal.
NORMAL_SLOWNESS = 1.05
# Lower reported values of slowness are treated as wrong and raised to this.
MIN_SLOWNESS = 0.5
# A cold server takes twice as long (the users' site files).
COLD_FACTOR = 2.0
# Latency added by a send to another zone: two times 3.9 ms for the call, and
# the rest for the load report.
CROSS_ZONE_SECONDS = 0.012
# Latency accepted per byte to keep it inside its zone: 6 ms for 1 kB, half a
# second for an answer of 90 kB. Half a second is about the
# time by which an answer of that size misses its target.
CROSS_ZONE_SECONDS_PER_BYTE = 6e-6
# The next group of servers is probed when the best server so far is slower than
# an idle one by this factor.
WIDEN_FACTOR = 1.15
# Penalties on the estimated time of a server that has just failed, and of one
# that reports itself unhealthy or not at all. They make such a server the last
# choice.
AVOIDED_PENALTY_SECONDS = 30.0
UNHEALTHY_PENALTY_SECONDS = 10.0
# Candidates whose cost is within this time of the best are tied; one of them is
# drawn.
TIE_SECONDS = 0.002


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """A server's load report.

    Attributes:
        healthy: Whether it considers itself able to serve.
        server_id: Identity of the server that answered; empty if not given.
        running: Number of calls that it is running.
        waiting: Number of calls in its queue.
        slots: Number of calls that it can run concurrently.
        slowness: Duration of work relative to normal (1.0).
        cold_seconds: Remaining time of its cold start.
        unreadable: Fields of the answer that could not be parsed and are
            replaced by defaults, for the log.
    """

    healthy: bool
    server_id: str = ""
    running: int = 0
    waiting: int = 0
    slots: int = 1
    slowness: float = 1.0
    cold_seconds: float = 0.0
    unreadable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A server that may get the call, with its load report.

    Attributes:
        entry: The server.
        report: Its report, or None when it did not answer.
        local: Whether it is in the gateway's own zone.
        avoided: Whether it is avoided because calls to it have just failed.
    """

    entry: registry.Entry
    report: LoadReport | None
    local: bool
    avoided: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """Average resource demand of a route's calls.

    Attributes:
        work_seconds: Time on an idle server of normal speed.
        transfer_bytes: Size of the bodies of request and answer.
    """

    work_seconds: float
    transfer_bytes: float

    @property
    def cross_zone_seconds(self) -> float:
        """Minimum advantage of a server in another zone over a local one."""
        return (
            CROSS_ZONE_SECONDS
            + self.transfer_bytes * CROSS_ZONE_SECONDS_PER_BYTE
        )


def is_crowded(report: LoadReport) -> bool:
    """Returns whether one more call would slow a server down."""
    return report.running + 1 > CROWDED_SHARE * max(report.slots, 1)


def estimate_seconds(report: LoadReport, work_seconds: float) -> float:
    """Returns the estimated duration of a call at a server."""
    slots = max(report.slots, 1)
    own = work_seconds * (CROWDED_FACTOR if is_crowded(report) else 1.0)
    if report.cold_seconds > 0:
        own *= COLD_FACTOR
    ahead = max(report.running + report.waiting - slots + 1, 0)
    if ahead == 0:
        return own * max(report.slowness, MIN_SLOWNESS)
    # The slowness of the machine when the call starts is not known yet.
    return own * ahead / slots + own * MEAN_SLOWNESS


def estimate_work(report: LoadReport, seconds: float) -> float | None:
    """Returns the work of an answered call, corrected for the server's load.

    Args:
        report: The report by which the server was chosen.
        seconds: Time from the send to the answer.

    Returns:
        The time that an idle server of normal speed would have taken; None if
        the call had to wait in a queue, which makes the work unknown.
    """
    if report.running >= report.slots or report.waiting > 0:
        return None
    return seconds / estimate_seconds(report, 1.0)


def estimate_cost(candidate: Candidate, demand: Demand) -> float:
    """Returns the cost of a candidate in seconds; lower is better."""
    if candidate.report is None:
        cost = demand.work_seconds + UNHEALTHY_PENALTY_SECONDS
    else:
        cost = estimate_seconds(candidate.report, demand.work_seconds)
        if not candidate.report.healthy:
            cost += UNHEALTHY_PENALTY_SECONDS
    if candidate.avoided:
        cost += AVOIDED_PENALTY_SECONDS
    if not candidate.local:
        cost += demand.cross_zone_seconds
    return cost


def choose(
    candidates: Sequence[Candidate],
    demand: Demand,
    random_source: random.Random,
) -> Candidate | None:
    """Returns the candidate with the lowest cost; draws among ties."""
    if not candidates:
        return None
    costs = [estimate_cost(candidate, demand) for candidate in candidates]
    limit = min(costs) + TIE_SECONDS
    best = [
        candidate
        for candidate, cost in zip(candidates, costs, strict=True)
        if cost <= limit
    ]
    return random_source.choice(best)


def should_widen(
    best: Candidate | None, demand: Demand, *, cross_zone: bool
) -> bool:
    """Returns whether to probe the next group of servers.

    Args:
        best: The best server so far.
        demand: Average demand of the route's calls.
        cross_zone: Whether the next group is in other zones.
    """
    if best is None:
        return True
    idle = demand.work_seconds * WIDEN_FACTOR
    if cross_zone:
        idle += demand.cross_zone_seconds
    return estimate_cost(best, demand) > idle


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """Servers that are probed together.

    Attributes:
        entries: The servers.
        local: Whether they are in the gateway's own zone.
    """

    entries: tuple[registry.Entry, ...]
    local: bool


def list_groups(
    entries: Sequence[registry.Entry],
    health: server_health.ServerHealthTable,
    *,
    gateway: str,
    zone: str,
    now: float,
) -> list[Group]:
    """Returns groups of servers in the order in which they are probed.

    The first group is a small subset of the own zone, so that a gateway needs
    few connections (each gateway has a different subset), then the rest of the
    own zone, a subset of the other zones, and finally the servers that have
    just failed: waiting for the report of a server that is gone takes longer
    than many calls.
    """
    avoided = [e for e in entries if health.is_avoided(e.server, now=now)]
    eligible = [e for e in entries if not health.is_avoided(e.server, now=now)]
    local = [e for e in eligible if e.server.zone == zone]
    remote = [e for e in eligible if e.server.zone != zone]
    for zone_entries in (local, remote):
        if len(zone_entries) > SUBSET_SIZE:
            zone_entries.sort(
                key=lambda entry: rendezvous.weigh(gateway, entry.server.id)
            )
    groups = [
        Group(entries=tuple(local[:SUBSET_SIZE]), local=True),
        Group(entries=tuple(local[SUBSET_SIZE:]), local=True),
        Group(entries=tuple(remote[:SUBSET_SIZE]), local=False),
        Group(entries=tuple(avoided), local=False),
    ]
    return [group for group in groups if group.entries]


def draw_servers(
    group: Group,
    *,
    random_source: random.Random,
    count: int = PROBES_PER_ROUND,
) -> list[registry.Entry]:
    """Draws the servers of a group to probe."""
    return random_source.sample(group.entries, min(count, len(group.entries)))
