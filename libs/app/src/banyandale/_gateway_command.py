"""The command `banyandale gateway`."""

import logging as standard_logging

from absl import logging

from banyandale import _commands as commands
from banyandale import _settings as settings
import banyandale_core as core
import banyandale_gateway as gateway


def to_gateway_settings(loaded: settings.GatewaySettings) -> gateway.Settings:
    """Converts the command's settings to those of the gateway library."""
    return gateway.Settings(
        gateway_id=loaded.id,
        zone=loaded.zone,
        listen=loaded.listen,
        advertise=loaded.advertise or loaded.listen,
        peer_listen=loaded.peer_listen,
        peer_advertise=loaded.peer_advertise or loaded.peer_listen,
        source=loaded.source,
        platform=loaded.platform,
        peer_secret=loaded.peer_secret.get_secret_value(),
        peers=tuple(filter(None, loaded.peers.split(","))),
        routing=gateway.Routing(loaded.routing),
        policy=loaded.policy,
        grace_seconds=loaded.grace_seconds,
        statsd=loaded.statsd,
    )


class GatewayCommand(commands.BaseCommand):
    """Runs a gateway until SIGTERM."""

    name = "gateway"
    description = "Run a gateway until SIGTERM"
    settings_model = settings.GatewaySettings
    options = commands.build_options(settings.GatewaySettings)

    def run_with_settings(self, loaded: settings.GatewaySettings) -> int:
        """Serves until SIGTERM."""
        logging.set_verbosity(logging.INFO)
        # Curio logs a warning for each operation that completes after its
        # timeout.
        standard_logging.getLogger("curio").setLevel(standard_logging.ERROR)
        return core.run_tasks(gateway.run_gateway, to_gateway_settings(loaded))
