"""Entry point of `python -m banyandale_standins`."""

import sys

from cleo import application

from banyandale_standins import _commands as commands


def build_application() -> application.Application:
    """Returns the command line with all commands."""
    app = application.Application("banyandale-standins", "0.1.0")
    for command in (
        commands.PlatformCommand,
        commands.BackendsCommand,
        commands.RelayCommand,
        commands.LoadCommand,
        commands.DemoCommand,
        commands.MeasureCommand,
    ):
        app.add(command())
    return app


def main() -> None:
    """Runs the command line."""
    sys.exit(build_application().run())
