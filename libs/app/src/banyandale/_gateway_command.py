"""The command `banyandale gateway`."""

import logging as standard_logging
import os

from absl import logging
from cleo.commands import command
from cleo.helpers import option
import curio

from banyandale import _settings as settings
import banyandale_gateway as gateway

EXIT_USAGE = 2


def build_options(model: type) -> list:
    """Returns one option per setting of a settings model."""
    return [
        option(
            settings.flag_name(name),
            description=f"{field.description} [{settings.variable_name(name)}]",
            flag=False,
        )
        for name, field in model.model_fields.items()
    ]


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


class GatewayCommand(command.Command):
    """Runs a gateway until SIGTERM."""

    name = "gateway"
    description = "Run a gateway until SIGTERM"
    options = build_options(settings.GatewaySettings)

    def handle(self) -> int:
        """Checks the settings and serves."""
        flags = {item.name: self.option(item.name) for item in self.options}
        try:
            loaded = settings.load_settings(
                settings.GatewaySettings, flags=flags, environment=os.environ
            )
        except settings.SettingsError as error:
            for problem in error.problems:
                self.line_error(f"error: {problem}")
            return EXIT_USAGE
        logging.set_verbosity(logging.INFO)
        # Curio warns of each timeout that was met a little late.
        standard_logging.getLogger("curio").setLevel(standard_logging.ERROR)
        return curio.run(gateway.run_gateway, to_gateway_settings(loaded))
