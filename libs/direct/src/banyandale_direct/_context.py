"""State shared by all calls of a gateway."""

import dataclasses
import random

import banyandale_core as core
from banyandale_direct import _budgets as budgets
from banyandale_direct import _channels as channels
from banyandale_direct import _demands as demands
from banyandale_direct import _handovers as handovers
from banyandale_direct import _members as members
from banyandale_direct import _memory as memory
from banyandale_direct import _named_limits as named_limits
from banyandale_direct import _paths as paths
from banyandale_direct import _protocols as protocols
from banyandale_direct import _quarantine as quarantine
from banyandale_direct import _registry as registry
from banyandale_direct import _senders as senders
from banyandale_direct import _server_health as server_health
from banyandale_direct import _settings as settings
from banyandale_direct import _stops as stops


@dataclasses.dataclass(kw_only=True, slots=True)
class Shared:
    """State shared by all calls of a gateway.

    Attributes:
        stop: Plan of the shutdown in progress, or None.
    """

    registry: registry.Registry
    server_health: server_health.ServerHealthTable
    demands: demands.DemandTracker
    call_ages: demands.CallAgeTracker
    election: senders.SenderElection
    send_times: senders.SendTimes
    named_limits: named_limits.NamedLimits
    quarantine: quarantine.Quarantine
    paths: paths.PathMonitor
    handovers: handovers.Handovers
    channels: channels.Channels
    members: members.MemberTable
    settings: settings.Settings
    codec: protocols.ServerCodec
    metrics: core.Metrics
    events: core.EventLog
    random: random.Random
    stop: stops.StopPlan | None = None
    answer_memory: memory.AnswerMemory = dataclasses.field(
        default_factory=memory.AnswerMemory
    )
    repeat_budgets: dict[str, budgets.RepeatBudget] = dataclasses.field(
        default_factory=dict
    )

    def budget(self, service: str) -> budgets.RepeatBudget:
        """Returns the repeat budget of a service."""
        found = self.repeat_budgets.get(service)
        if found is None:
            found = budgets.RepeatBudget(
                ratio=self.settings.repeat_ratio,
                slack=self.settings.repeat_slack,
                window_seconds=self.settings.repeat_window_seconds,
            )
            self.repeat_budgets[service] = found
        return found
