"""Errors of configuration documents and their publication."""

from collections.abc import Sequence

from banyandale_config import _changes as changes
from banyandale_config import _problems as problems
import banyandale_core as core


class ConfigError(core.CodedError):
    """Base class of the errors of this library."""

    code = "config_error"


class InvalidDocumentError(ConfigError):
    """The document cannot be read or breaks a rule.

    Attributes:
        problems: All problems found, including warnings.
    """

    code = "invalid_document"

    def __init__(self, found: Sequence[problems.Problem]) -> None:
        super().__init__("\n".join(map(str, found)))
        self.problems = tuple(found)


class ConfigConflictError(ConfigError):
    """Another change was accepted since the document was read.

    Attributes:
        generation: Newest generation in the platform.
        author: Who published that generation.
        message: Description that its author gave.
        accepted: Changes from the base of the document to that generation;
            empty if the base is no longer in the history.
        proposed: Changes that the rejected document would make to that
            generation.
    """

    code = "config_conflict"

    def __init__(
        self,
        *,
        generation: int,
        author: str,
        message: str,
        accepted: Sequence[changes.Change],
        proposed: Sequence[changes.Change],
    ) -> None:
        lines = [
            f"generation {generation} by {author} ({message}) was accepted"
            " since this document was read",
            "accepted since then:",
            *(f"  {change}" for change in accepted),
            "this document would change:",
            *(f"  {change}" for change in proposed),
        ]
        super().__init__("\n".join(lines))
        self.generation = generation
        self.author = author
        self.message = message
        self.accepted = tuple(accepted)
        self.proposed = tuple(proposed)


class ConfigOutcomeUnknownError(ConfigError):
    """The platform did not confirm or reject the change before the deadline."""

    code = "config_outcome_unknown"


class GenerationNotFoundError(ConfigError):
    """The generation is not in the history."""

    code = "generation_not_found"


class DamagedConfigError(ConfigError):
    """Objects from the platform or a peer are missing or malformed."""

    code = "config_damaged"
