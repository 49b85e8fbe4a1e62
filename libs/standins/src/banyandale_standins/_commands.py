"""Commands of `python -m banyandale_standins`."""

import contextlib
import dataclasses
import json
import logging
import pathlib
import signal
import tempfile

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option
import curio
import pydantic

import banyandale_core as core
from banyandale_standins import _backend as backend
from banyandale_standins import _demo as demo
from banyandale_standins import _deployments as deployments
from banyandale_standins import _load as load
from banyandale_standins import _measure as measure
from banyandale_standins import _platform as platform
from banyandale_standins import _relay as relay
from banyandale_standins import _reports as reports
from banyandale_standins import _system as system
from banyandale_standins import _timing as timing

EXIT_FAILED = 1
# Without a slow-down the load of a whole deployment keeps several cores busy,
# and a demo beside other work on the machine shows the limits of the machine.
DEFAULT_SLOW_DOWN = "2"
# Load tools that start calls later than this lacked processor time, so their
# latencies say little about the gateways.
MAX_LATENESS_MS = 20.0
SETTINGS_ARGUMENT = argument(
    "settings", description="JSON file with the settings"
)


def run(corofunc: object, *args: object) -> object:
    """Runs a coroutine function until it returns."""
    # Curio logs each operation that ends after its deadline, which under load
    # would be most of the output.
    logging.getLogger("curio").setLevel(logging.ERROR)
    core.tune_garbage_collector()
    return curio.run(corofunc, *args, selector=timing.HighResolutionSelector())


def stop_on_sigterm() -> None:
    """Raises SystemExit on SIGTERM, so that `finally` stops all processes."""
    signal.signal(signal.SIGTERM, _exit)


def _exit(number: int, frame: object) -> None:
    del frame
    # The exit status that shells report for a process ended by a signal.
    raise SystemExit(128 + number)


def read_settings(
    path: str, model: type[pydantic.BaseModel]
) -> pydantic.BaseModel:
    """Reads a JSON file and validates it against a model."""
    return model.model_validate_json(pathlib.Path(path).read_text())


class PlatformCommand(command.Command):
    """Runs the platform stand-in."""

    name = "platform"
    description = "Run the platform stand-in until it is ended"
    options = [
        option("address", description="ip:port", flag=False, default=None)
    ]

    def handle(self) -> int:
        """Serves until the process is ended."""
        address = self.option("address") or deployments.TRUST.platform_address()
        run(_serve_platform, address)
        return 0


async def _serve_platform(address: str) -> None:
    await platform.serve_platform(address=address)


class BackendsCommand(command.Command):
    """Runs simulated backend servers."""

    name = "backends"
    description = "Run backend server stand-ins until they are ended"
    arguments = [SETTINGS_ARGUMENT]

    def handle(self) -> int:
        """Serves until the process is ended."""
        config = read_settings(
            self.argument("settings"), backend.BackendsSettings
        )
        run(_serve_backends, config)
        return 0


async def _serve_backends(config: backend.BackendsSettings) -> None:
    await backend.serve_backends(config=config)


class RelayCommand(command.Command):
    """Runs the relay between zones."""

    name = "relay"
    description = "Run the link relay until it is ended"
    arguments = [SETTINGS_ARGUMENT]

    def handle(self) -> int:
        """Serves until the process is ended."""
        config = read_settings(self.argument("settings"), relay.RelaySettings)
        run(_serve_relay, config)
        return 0


async def _serve_relay(config: relay.RelaySettings) -> None:
    await relay.serve_relay(config=config)


class LoadCommand(command.Command):
    """Runs the load tool."""

    name = "load"
    description = "Send an open-loop load and print its results as JSON"
    arguments = [SETTINGS_ARGUMENT]
    options = [option("result", description="file for the JSON", flag=False)]

    def handle(self) -> int:
        """Sends all calls, then writes the results as JSON."""
        config = read_settings(self.argument("settings"), load.LoadSettings)
        result = json.dumps(run(_run_load, config).to_json())
        if self.option("result"):
            pathlib.Path(self.option("result")).write_text(result)
        else:
            self.line(result)
        return 0


async def _run_load(config: load.LoadSettings) -> object:
    tool = load.LoadTool(config=config)
    # Once more, since the planned calls are many objects that live as long as
    # the run.
    core.tune_garbage_collector()
    return await tool.run()


SYSTEM_OPTIONS = [
    option(
        "deployment",
        description=" or ".join(deployments.DEPLOYMENTS),
        flag=False,
        default="trust",
    ),
    option(
        "gateways", description="number of gateways", flag=False, default="6"
    ),
    option(
        "slow-down",
        description="factor by which service times grow and the load shrinks",
        flag=False,
        default=DEFAULT_SLOW_DOWN,
    ),
    option("port", description="first port", flag=False, default=None),
    option(
        "seed", description="seed of load and faults", flag=False, default="1"
    ),
]


def build_deployment(cli: command.Command) -> deployments.Deployment:
    """Returns the deployment that the options of a command describe."""
    deployment = deployments.DEPLOYMENTS[cli.option("deployment")]
    port = int(cli.option("port") or deployment.port)
    slow_down = float(cli.option("slow-down"))
    return dataclasses.replace(deployment, port=port).slow_down(slow_down)


class DemoCommand(command.Command):
    """Takes a zone out of service and back under load."""

    name = "demo"
    description = "Take a zone out of service and back under load"
    options = [
        *SYSTEM_OPTIONS,
        option(
            "share",
            description="load as a share of the servers' capacity",
            flag=False,
            default="0.4",
        ),
        option(
            "routing", description="home|direct", flag=False, default="home"
        ),
        option(
            "policy",
            description="policy of the gateways",
            flag=False,
            default="least_loaded",
        ),
        option("logs", description="folder for logs, counters", flag=False),
    ]

    def handle(self) -> int:
        """Runs the demo; returns 1 if a requirement was violated."""
        stop_on_sigterm()
        with contextlib.ExitStack() as stack:
            folder = self.option("logs") or stack.enter_context(
                tempfile.TemporaryDirectory()
            )
            pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
            running_system = system.System(
                deployment=build_deployment(self),
                gateways=int(self.option("gateways")),
                variant=system.Variant(
                    routing=self.option("routing"),
                    policy=self.option("policy"),
                ),
                folder=pathlib.Path(folder),
                seed=int(self.option("seed")),
            )
            try:
                report = run(self._run, running_system)
            except core.CodedError as error:
                self.line_error(f"error: {error.code}: {error}")
                return EXIT_FAILED
            finally:
                statuses = running_system.stop()
        self._write_counters(report)
        return self._print_report(report, statuses)

    async def _run(self, running_system: system.System) -> demo.DemoReport:
        self.line("starting")
        await running_system.start()
        self.line(
            f"{len(running_system.processes.names())} processes are ready"
        )
        share = float(self.option("share"))
        return await demo.Demo(
            running_system=running_system, share=share, print_line=self.line
        ).run()

    def _write_counters(self, report: demo.DemoReport) -> None:
        if self.option("logs"):
            path = pathlib.Path(self.option("logs")) / "gateway-counters.json"
            path.write_text(json.dumps(report.counters, indent=1) + "\n")

    def _print_report(
        self, report: demo.DemoReport, statuses: dict[str, int]
    ) -> int:
        result = report.result
        rows = reports.build_rows(result, report.costs)
        self.render_table(list(reports.HEADERS), rows)
        headers = list(reports.SERVICE_HEADERS)
        self.render_table(headers, reports.build_service_rows(result))
        if rows := reports.build_reason_rows(result):
            headers = ["phase", "service", "kind", "reason", "calls"]
            self.render_table(headers, rows)
        last = report.last_request_seconds
        self.line(
            "last new request in the zone out of service: "
            + ("none" if last is None else f"{last:.1f} s after the change")
        )
        lateness = result.lateness.summarize()
        self.line(
            f"load tools: calls started late by {lateness['p50']:.2f} ms (p50)"
            f" and {lateness['p99']:.2f} ms (p99), {dict(result.counters)}"
        )
        if lateness["p99"] > MAX_LATENESS_MS:
            self.line_error(
                "warning: the load tools started calls late; the machine was"
                " too busy for these latencies to be meaningful"
            )
        failed = {
            name: status
            for name, status in statuses.items()
            if name.startswith("gw-") and status
        }
        violations = list(report.violations)
        if failed:
            violations.append(f"gateways exited with an error: {failed}")
        for violation in violations:
            self.line_error(f"requirement violated: {violation}")
        return EXIT_FAILED if violations else 0


class MeasureCommand(command.Command):
    """Runs the measurements."""

    name = "measure"
    description = "Compare policies under the same load and write docs"
    options = [
        *SYSTEM_OPTIONS,
        option(
            "variants",
            description="comma-separated routing/policy",
            flag=False,
            default=",".join(measure.VARIANTS),
        ),
        option(
            "repeats",
            description="runs of each variant",
            flag=False,
            default="3",
        ),
        option("docs", description="output folder", flag=False, default="docs"),
        option(
            "what",
            description="policies, overhead (latency added by a gateway)"
            " or slopes (cost of peers and of the configuration)",
            flag=False,
            default="policies",
        ),
    ]

    def handle(self) -> int:
        """Runs the chosen measurement."""
        plan = measure.Plan(
            deployment=build_deployment(self),
            gateways=int(self.option("gateways")),
            variants=tuple(self.option("variants").split(",")),
            repeats=int(self.option("repeats")),
            seed=int(self.option("seed")),
            slow_down=float(self.option("slow-down")),
        )
        docs = pathlib.Path(self.option("docs"))
        measurements = {
            "policies": measure.measure_policies,
            "overhead": measure.measure_overhead,
            "slopes": measure.measure_slopes,
        }
        stop_on_sigterm()
        try:
            run(measurements[self.option("what")], plan, docs, self.line)
        except core.CodedError as error:
            self.line_error(f"error: {error.code}: {error}")
            return EXIT_FAILED
        return 0
