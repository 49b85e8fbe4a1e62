"""Replays recorded traces and checks the outcomes that they state.

A trace is a JSON Lines file; each line has `at_ms` (since the start) and
`do`:

- `request`: one call; `gateways` are tried in turn, as a caller does with the
  addresses of its lookup. The service's method and key come from the plan.
- `phase`: starts a named phase and states its outcome: the minimum shares of
  idempotent and of keyed requests that succeed.
- `kill_home`, `pause_home`, `resume`: change the gateway that holds a home.
- `zone_out`, `zone_in`, `platform_down`, `platform_up`.
- `server`: a `standins.ServerChange` of all servers of a service in a zone.

In every phase no keyed request may run twice, and one that was refused as
not-run must not have run.
"""

import dataclasses
import json
import pathlib
import time
from typing import Any

import curio
import pytest

import banyandale_http as http
import banyandale_standins as standins
import cluster as clusters

TRACES = sorted((pathlib.Path(__file__).parent / "traces").glob("*.jsonl"))
REQUEST_SECONDS = 4.0

# A trace truncates up to 30% of the responses of a zone. Serving all calls then
# takes 0.43 retries per call, more than the default ratio allows.
RETRY_RATIO = 0.5

WARM_DEPLOYMENT = clusters.DEPLOYMENT.slow_down(0.5).start_warm()
DEPLOYMENT = dataclasses.replace(
    WARM_DEPLOYMENT,
    services=tuple(
        dataclasses.replace(service, retry_ratio=RETRY_RATIO)
        for service in WARM_DEPLOYMENT.services
    ),
)


@dataclasses.dataclass(kw_only=True)
class Result:
    """The result of one request.

    Attributes:
        phase: Phase in which the request was sent.
        key: Idempotency key, or None for an idempotent request.
        outcome: "ok", "not-run" or "unknown".
        attempts: Descriptions of the attempts in order, each as
            `gateway: outcome reason, seconds`.
    """

    phase: str
    key: str | None
    outcome: str
    attempts: list[str] = dataclasses.field(default_factory=list)


class Replayer:
    """Runs one trace against a cluster."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster
        self._plans = {item.name: item for item in DEPLOYMENT.services}
        self._gateways = {item.name: item for item in cluster.system.gateways}
        self._phase = ""
        self._paused: standins.GatewayPlan | None = None
        self._zones_out: set[str] = set()
        self.outcomes: dict[str, dict[str, float]] = {}
        self.results: list[Result] = []

    async def run(self, lines: list[dict[str, Any]]) -> None:
        """Executes all lines at their times; waits for all requests."""
        start = time.monotonic()
        tasks = []
        async with curio.TaskGroup() as group:
            for number, line in enumerate(lines):
                at = start + line["at_ms"] / 1000
                await curio.sleep(max(at - time.monotonic(), 0.0))
                if line["do"] == "phase":
                    self._phase = line["name"]
                    self.outcomes[self._phase] = line["outcome"]
                    continue
                if line["do"] == "request":
                    arguments = (self._send_request, number, line, self._phase)
                else:
                    arguments = (self._apply_action, line)
                tasks.append(await group.spawn(*arguments))
        for task in tasks:
            # Raises the error of a task, which the group does not.
            _ = task.result

    async def _apply_action(self, line: dict[str, Any]) -> None:
        match line["do"]:
            case "kill_home":
                self._cluster.kill(await self._find_home(line))
            case "pause_home":
                self._paused = await self._find_home(line)
                self._cluster.pause(self._paused)
            case "resume":
                self._cluster.resume(self._paused)
            case "zone_out":
                self._zones_out.add(line["zone"])
                await self._cluster.system.apply_zones(
                    out=sorted(self._zones_out)
                )
            case "zone_in":
                self._zones_out.discard(line["zone"])
                await self._cluster.system.apply_zones(
                    out=sorted(self._zones_out)
                )
            case "platform_down":
                await self._cluster.set_platform_faults(down=True)
            case "platform_up":
                await self._cluster.set_platform_faults(down=False)
            case "server":
                for address in self._cluster.servers(
                    line["service"], line["zone"]
                ):
                    await self._cluster.change_server(address, **line["change"])
            case action:
                raise ValueError(f"unknown action {action!r}")

    async def _find_home(self, line: dict[str, Any]) -> standins.GatewayPlan:
        """Returns the holder of a home, even if its lease has expired."""
        for gateway in self._gateways.values():
            page = await self._cluster.status(gateway)
            for home in page["homes"]:
                if (home["service"], home["zone"]) == (
                    line["service"],
                    line["zone"],
                ):
                    return gateway
        raise ValueError(f"no home for {line}")

    async def _send_request(
        self, number: int, line: dict[str, Any], phase: str
    ) -> None:
        plan = self._plans[line["service"]]
        key = f"line-{number}" if plan.keyed else None
        result = Result(phase=phase, key=key, outcome="not-run")
        deadline = time.monotonic() + REQUEST_SECONDS
        for name in line["gateways"]:
            started_at = time.monotonic()
            reason = await self._send_attempt(
                name, plan, number, result, deadline
            )
            seconds = time.monotonic() - started_at
            result.attempts.append(
                f"{name}: {result.outcome} {reason}, {seconds:.1f} s"
            )
            # A request that may have run is repeated only if it is idempotent.
            if result.outcome == "ok" or (
                result.outcome == "unknown" and key is not None
            ):
                break
        self.results.append(result)

    async def _send_attempt(
        self,
        name: str,
        plan: standins.ServicePlan,
        number: int,
        result: Result,
        deadline: float,
    ) -> str:
        """Sends one request, sets the outcome and returns its reason."""
        target = b"/line/%d" % number
        headers = ()
        if result.key is not None:
            headers = ((b"idempotency-key", result.key.encode()),)
        try:
            response = await self._cluster.call(
                self._gateways[name],
                plan.name,
                method=plan.method.encode(),
                target=target,
                headers=headers,
                seconds=deadline - time.monotonic(),
            )
        except http.HttpError as error:
            result.outcome = error.run.value
            return error.code
        if response.status == 200:
            assert standins.find_fault(target, response.body) is None
            result.outcome = "ok"
            return ""
        mark, reason = clusters.read_reason(response)
        result.outcome = mark or "unknown"
        return reason or ""


def check_shares(replayer: Replayer) -> None:
    """Checks the success shares that each phase states."""
    for phase, outcome in replayer.outcomes.items():
        for name, keyed in (("idempotent_ok", False), ("keyed_ok", True)):
            results = [
                item
                for item in replayer.results
                if item.phase == phase and (item.key is not None) == keyed
            ]
            ok = sum(item.outcome == "ok" for item in results)
            failures = [
                item.attempts for item in results if item.outcome != "ok"
            ]
            print(f"{phase}: {name} {ok} of {len(results)}, {failures}")
            assert results
            assert ok >= outcome[name] * len(results), failures


async def check_effects(cluster, replayer: Replayer) -> None:
    """Checks that no request ran twice or ran although marked not-run."""
    effects = await cluster.system.read_effects()
    keyed = [item for item in replayer.results if item.key is not None]
    for item in keyed:
        count = effects.get(item.key, 0)
        assert count <= 1, item
        if item.outcome == "ok":
            assert count == 1, item
        if item.outcome == "not-run":
            assert count == 0, item


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_has_its_stated_outcome(path, tmp_path):
    """Guards against lost, repeated and wrongly marked requests."""
    lines = [json.loads(line) for line in path.read_text().splitlines()]

    async def scenario(cluster):
        # No home may move during the first phase.
        for service in DEPLOYMENT.services:
            for zone in DEPLOYMENT.zones:
                await cluster.wait_for_home(service.name, zone)
        replayer = Replayer(cluster)
        await replayer.run(lines)
        check_shares(replayer)
        await check_effects(cluster, replayer)

    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT)
