"""Where a call goes, by load reports made just before the send.

Load pattern: machines that are shared with others turn several times slower
for stretches of a few hundred milliseconds, so that a load report is stale
when the next call comes. A call that starts in such a stretch takes that many
times longer as a whole. A few servers are asked right before each send; the
call goes to the one that is likely to answer first. Servers of other zones
are asked only when the best of the own zone is crowded or slow, because bytes
between zones are dear.
"""

from collections.abc import Sequence
import dataclasses
import random

from banyandale_direct import _registry as registry
from banyandale_direct import _rendezvous as rendezvous
from banyandale_direct import _server_health as server_health

# Servers asked per zone and call. More find few better servers and cost
# processor time (0.6 ms a report).
PROBES_PER_ROUND = 4
# Servers of the own zone, and of all others, that a gateway prefers.
SUBSET_SIZE = 6
# A server slows down once this share of its slots is taken, by this factor
# (the users' site files: knee 0.8, 1.7).
CROWDED_SHARE = 0.8
CROWDED_FACTOR = 1.7
# Average slowness of a machine (the users' site files: a quarter to a third
# of the time at 4).
MEAN_SLOWNESS = 1.75
# A machine up to this slowness counts as normal.
NORMAL_SLOWNESS = 1.05
# Slowness below this is not believed.
MIN_SLOWNESS = 0.5
# A cold server takes twice as long (the users' site files).
COLD_FACTOR = 2.0
# Time that a way across zones adds: two times 3.9 ms and the report's own.
CROSS_ZONE_SECONDS = 0.012
# Time that is given up to keep a byte inside its zone. An answer of 1 kB
# weighs 6 ms, one of 90 kB half a second, about what it is late by at its
# target.
CROSS_ZONE_SECONDS_PER_BYTE = 6e-6
# Servers elsewhere are asked when the own zone's best is this much slower
# than an idle one.
WIDEN_FACTOR = 1.15
# Added to the time of a server that has just failed or reports itself ill,
# so that it is chosen only when all others are worse.
AVOIDED_PENALTY_SECONDS = 30.0
UNHEALTHY_PENALTY_SECONDS = 10.0
# Candidates within this time of the best are equal; one is drawn.
TIE_SECONDS = 0.002


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """A server's answer about its load.

    Attributes:
        healthy: Whether it considers itself able to serve.
        server_id: Identity of the server that answered; empty if not told.
        running: Calls that it runs.
        waiting: Calls that wait in it.
        slots: Calls that it can run at the same time.
        slowness: How long work takes, relative to normal (1.0).
        cold_seconds: How much longer it is in cold start.
        unreadable: Fields of the answer that could not be read and count as
            normal, for the log; empty if there are none.
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
    """A server with its fresh report.

    Attributes:
        entry: The server.
        report: Its report, or None when it did not answer.
        local: Whether it is in the gateway's own zone.
        avoided: Whether calls to it have just failed.
    """

    entry: registry.Entry
    report: LoadReport | None
    local: bool
    avoided: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What the calls of a route usually need.

    Attributes:
        work_seconds: Time that an idle, normal server takes.
        answer_bytes: Size of an answer.
    """

    work_seconds: float
    answer_bytes: float

    @property
    def cross_zone_seconds(self) -> float:
        """The time by which a server of another zone must be better."""
        return (
            CROSS_ZONE_SECONDS + self.answer_bytes * CROSS_ZONE_SECONDS_PER_BYTE
        )


def estimate_seconds(report: LoadReport, work_seconds: float) -> float:
    """Returns how long a call would take at a server."""
    slots = max(report.slots, 1)
    crowded = report.running + 1 > CROWDED_SHARE * slots
    own = work_seconds * (CROWDED_FACTOR if crowded else 1.0)
    if report.cold_seconds > 0:
        own *= COLD_FACTOR
    ahead = max(report.running + report.waiting - slots + 1, 0)
    if ahead == 0:
        return own * max(report.slowness, MIN_SLOWNESS)
    # How slow the machine is when the call starts is not known yet.
    return own * ahead / slots + own * MEAN_SLOWNESS


def estimate_work(report: LoadReport, seconds: float) -> float | None:
    """Returns the work of a call that was answered after some time.

    Args:
        report: The report by which the call was placed.
        seconds: Time from the send to the answer.

    Returns:
        The time that an idle, normal server would have taken; None when the
        call had to wait, so that nothing can be said.
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
    """Returns the best candidate; draws among equal ones."""
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
    """Whether servers of the next group could be better than the best.

    Args:
        best: The best server so far.
        demand: What the call needs.
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
    """Servers that are asked together.

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
    """Returns groups of servers in the order in which they are asked.

    First come a few of the own zone, so that a gateway needs few connections
    (the gateways' choices differ), then the rest of the own zone, then a few
    of other zones, last those that have just failed: to wait for the report
    of a server that is gone takes longer than many calls.
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
    """Draws the servers of a group that are asked."""
    return random_source.sample(group.entries, min(count, len(group.entries)))
