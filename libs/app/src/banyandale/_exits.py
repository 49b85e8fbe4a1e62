"""Exit codes, and the errors that lead to them."""

import enum

from banyandale import _settings as settings
import banyandale_config as config
import banyandale_core as core
import banyandale_platform as platform


class ExitCode(enum.IntEnum):
    """Exit codes of the program."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    INVALID_DOCUMENT = 3
    CONFLICT = 4
    PLATFORM_UNAVAILABLE = 5


DESCRIPTIONS = {
    ExitCode.OK: "the command succeeded",
    ExitCode.FAILURE: (
        "the command failed, or its change is not in force in every gateway, or"
        " its outcome is unknown; the message says which"
    ),
    ExitCode.USAGE: "the command line or the settings are wrong",
    ExitCode.INVALID_DOCUMENT: "the document has errors; nothing was changed",
    ExitCode.CONFLICT: (
        "another change was accepted since the document was read; nothing was"
        " changed"
    ),
    ExitCode.PLATFORM_UNAVAILABLE: (
        "the platform does not answer; nothing was changed"
    ),
}

_CODES_BY_ERROR = (
    (settings.SettingsError, ExitCode.USAGE),
    (config.InvalidDocumentError, ExitCode.INVALID_DOCUMENT),
    (config.ConfigConflictError, ExitCode.CONFLICT),
    (platform.PlatformError, ExitCode.PLATFORM_UNAVAILABLE),
)


def find_exit_code(error: core.CodedError) -> ExitCode:
    """Returns the exit code of a command that failed with an error."""
    for error_type, code in _CODES_BY_ERROR:
        if isinstance(error, error_type):
            return code
    return ExitCode.FAILURE
