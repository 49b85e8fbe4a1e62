"""Base of all commands: settings, output and exit codes."""

import os
from typing import Any
from typing import ClassVar

from cleo.commands import command
from cleo.helpers import option
from cleo.io.outputs import output

from banyandale import _exits as exits
from banyandale import _settings as settings
import banyandale_core as core


def build_options(model: type[settings.Settings]) -> list[Any]:
    """Returns a command-line option for each setting of a model."""
    return [
        option(
            settings.flag_name(name),
            description=f"{field.description} [{settings.variable_name(name)}]",
            flag=False,
        )
        for name, field in model.model_fields.items()
    ]


class BaseCommand(command.Command):
    """A command that loads and checks its settings before it runs.

    Subclasses set `settings_model` and override `run_with_settings`. A
    `CodedError` is written to the standard error and sets the exit code.
    """

    settings_model: ClassVar[type[settings.Settings] | None] = None

    def handle(self) -> int:
        """Loads the settings and runs the command."""
        try:
            return self.run_with_settings(self._load_settings())
        except settings.SettingsError as error:
            for problem in error.problems:
                self.report(f"error: {problem}")
            return exits.ExitCode.USAGE
        except core.CodedError as error:
            self.report(f"error: {error.code}: {error}")
            return exits.find_exit_code(error)

    def run_with_settings(self, loaded: Any) -> int:
        """Runs the command and returns its exit code.

        Args:
            loaded: The checked settings; None if `settings_model` is None.
        """
        raise NotImplementedError

    def _load_settings(self) -> settings.Settings | None:
        if self.settings_model is None:
            return None
        flags = {
            settings.flag_name(name): self.option(settings.flag_name(name))
            for name in self.settings_model.model_fields
        }
        return settings.load_settings(
            self.settings_model, flags=flags, environment=os.environ
        )

    def show(self, text: str) -> None:
        """Writes a line to the standard output; markup is not interpreted."""
        # Cleo would interpret <tags> in a document or a message as styles.
        self.io.write_line(text, type=output.Type.RAW)

    def report(self, text: str) -> None:
        """Writes a line to the standard error; markup is not interpreted."""
        self.io.write_error_line(text, type=output.Type.RAW)
