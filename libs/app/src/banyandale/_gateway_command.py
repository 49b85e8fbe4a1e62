"""The command `banyandale gateway`."""

import logging as standard_logging

from absl import logging
import curio

from banyandale import _commands as commands
from banyandale import _settings as settings
import banyandale_gateway as gateway


def to_gateway_settings(loaded: settings.GatewaySettings) -> gateway.Settings:
    """Converts checked settings to the gateway's own type."""
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
        statsd=loaded.statsd,
    )


class GatewayCommand(commands.CheckedCommand):
    """Runs a gateway until SIGTERM."""

    name = "gateway"
    description = "Run a gateway until SIGTERM"
    settings_model = settings.GatewaySettings
    options = commands.build_options(settings.GatewaySettings)

    def execute_checked(self, loaded: settings.GatewaySettings) -> int:
        """Serves until SIGTERM."""
        logging.set_verbosity(logging.INFO)
        # Curio warns of each timeout that was met a little late.
        standard_logging.getLogger("curio").setLevel(standard_logging.ERROR)
        return curio.run(gateway.run_gateway, to_gateway_settings(loaded))
