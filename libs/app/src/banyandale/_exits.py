"""Exit codes of all commands."""

import enum

from banyandale import _settings as settings
import banyandale_config as config
import banyandale_core as core
import banyandale_platform as platform


class ExitCode(enum.IntEnum):
    """What the exit code of the program says."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    INVALID_DOCUMENT = 3
    CONFLICT = 4
    PLATFORM_UNAVAILABLE = 5


DESCRIPTIONS = {
    ExitCode.OK: "done",
    ExitCode.FAILURE: (
        "failed, or not in force in every gateway, or the outcome is not known;"
        " the message says which"
    ),
    ExitCode.USAGE: "wrong command line or settings",
    ExitCode.INVALID_DOCUMENT: "the document has errors; nothing was changed",
    ExitCode.CONFLICT: (
        "another change was accepted since the document was read; nothing was"
        " changed"
    ),
    ExitCode.PLATFORM_UNAVAILABLE: (
        "the platform does not answer; nothing was changed"
    ),
}

_BY_ERROR = (
    (settings.SettingsError, ExitCode.USAGE),
    (config.InvalidDocumentError, ExitCode.INVALID_DOCUMENT),
    (config.ConfigConflictError, ExitCode.CONFLICT),
    (platform.PlatformError, ExitCode.PLATFORM_UNAVAILABLE),
)


def find_exit_code(error: core.CodedError) -> ExitCode:
    """Returns the exit code of a command that ended with an error."""
    for kind, code in _BY_ERROR:
        if isinstance(error, kind):
            return code
    return ExitCode.FAILURE
