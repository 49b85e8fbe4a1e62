"""What the commands have in common: settings, output and exit codes."""

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
    """Returns one option per setting of a settings model."""
    return [
        option(
            settings.flag_name(name),
            description=f"{field.description} [{settings.variable_name(name)}]",
            flag=False,
        )
        for name, field in model.model_fields.items()
    ]


class CheckedCommand(command.Command):
    """A command whose settings are checked before it runs.

    Subclasses set `settings_model` and override `execute_checked`. A
    `CodedError` becomes a message and an exit code.
    """

    settings_model: ClassVar[type[settings.Settings] | None] = None

    def handle(self) -> int:
        """Checks the settings and runs the command."""
        try:
            return self.execute_checked(self._load())
        except settings.SettingsError as error:
            for problem in error.problems:
                self.report(f"error: {problem}")
            return exits.ExitCode.USAGE
        except core.CodedError as error:
            self.report(f"error: {error.code}: {error}")
            return exits.find_exit_code(error)

    def execute_checked(self, loaded: Any) -> int:
        """Runs the command and returns its exit code.

        Args:
            loaded: The checked settings, or None without a model.
        """
        raise NotImplementedError

    def _load(self) -> settings.Settings | None:
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
        """Writes a line to the standard output as it is."""
        # Raw, since a document or a message may contain <tags>.
        self.io.write_line(text, type=output.Type.RAW)

    def report(self, text: str) -> None:
        """Writes a line to the standard error as it is."""
        self.io.write_error_line(text, type=output.Type.RAW)
