"""The command `banyandale console`."""

import signal

from absl import logging
import curio

from banyandale import _commands as commands
from banyandale import _exits as exits
from banyandale import _settings as settings
import banyandale_config as config
import banyandale_console as console
import banyandale_core as core
import banyandale_http as http
import banyandale_platform as platform

STATSD_FLUSH_SECONDS = 1.0


def _build_metrics(loaded: settings.ConsoleSettings) -> core.MemoryMetrics:
    if loaded.statsd is None:
        return core.MemoryMetrics()
    host, port = http.parse_address(loaded.statsd)
    return core.StatsdMetrics(host=host, port=port, prefix="banyandale.console")


async def _flush_periodically(metrics: core.MemoryMetrics) -> None:
    while isinstance(metrics, core.StatsdMetrics):
        metrics.flush()
        await curio.sleep(STATSD_FLUSH_SECONDS)


async def run_console(loaded: settings.ConsoleSettings) -> None:
    """Serves the console until SIGTERM or SIGINT."""
    store = platform.HttpObjectStore(
        address=loaded.platform, source=loaded.source
    )
    metrics = _build_metrics(loaded)
    handler = console.Console(
        publisher=config.Publisher(store=store, metrics=metrics),
        store=store,
        metrics=metrics,
        token=loaded.console_token.get_secret_value(),
    )
    listener = http.open_listener(loaded.console_listen)
    server = await curio.spawn(console.serve, handler, listener)
    flusher = await curio.spawn(_flush_periodically, metrics)
    logging.info("console listens on %s", loaded.console_listen)
    await core.wait_for_signal(signal.SIGTERM, signal.SIGINT)
    await server.cancel()
    await flusher.cancel()


class ConsoleCommand(commands.BaseCommand):
    """Serves the console."""

    name = "console"
    description = "Serve the forms for operators until SIGTERM"
    settings_model = settings.ConsoleSettings
    options = commands.build_options(settings.ConsoleSettings)

    def run_with_settings(self, loaded: settings.ConsoleSettings) -> int:
        """Serves until SIGTERM."""
        logging.set_verbosity(logging.INFO)
        try:
            curio.run(run_console, loaded)
        except OSError as error:
            self.report(f"error: {loaded.console_listen}: {error}")
            return exits.ExitCode.FAILURE
        return exits.ExitCode.OK
