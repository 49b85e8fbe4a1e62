"""Entry point of the program."""

import sys

from cleo import application

from banyandale import _gateway_command as gateway_command


def build_application() -> application.Application:
    """Returns the command line with all commands."""
    app = application.Application("banyandale", "0.1.0")
    app.add(gateway_command.GatewayCommand())
    return app


def main() -> None:
    """Runs the command line."""
    sys.exit(build_application().run())
