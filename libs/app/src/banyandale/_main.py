"""Entry point of the program."""

import sys

from cleo import application
from cleo import exceptions

from banyandale import _console_command as console_command
from banyandale import _exits as exits
from banyandale import _gateway_command as gateway_command
from banyandale import _operator_commands as operator_commands


def build_application() -> application.Application:
    """Returns the cleo application with all commands."""
    app = application.Application("banyandale", "0.1.0")
    app.add(gateway_command.GatewayCommand())
    app.add(console_command.ConsoleCommand())
    for command_type in operator_commands.COMMANDS:
        app.add(command_type())
    app.auto_exits(False)
    app.catch_exceptions(False)
    return app


def main() -> None:
    """Runs the program and exits with its exit code."""
    try:
        sys.exit(build_application().run())
    except exceptions.CleoError as error:
        # Cleo itself would exit with 1 after a usage error.
        print(f"error: {error}", file=sys.stderr)
        sys.exit(exits.ExitCode.USAGE)
