"""Errors of the configuration document and of its publication."""

from collections.abc import Sequence

from banyandale_config import _changes as changes
from banyandale_config import _problems as problems
import banyandale_core as core


class ConfigError(core.CodedError):
    """Base of all errors of this library."""

    code = "config_error"


class InvalidDocumentError(ConfigError):
    """The document has errors.

    Attributes:
        problems: All problems found, warnings included.
    """

    code = "invalid_document"

    def __init__(self, found: Sequence[problems.Problem]) -> None:
        super().__init__("\n".join(map(str, found)))
        self.problems = tuple(found)


class ConfigConflictError(ConfigError):
    """Another change was accepted since the document was read.

    Attributes:
        generation: Generation in the platform now.
        author: Who published that generation.
        message: What its author wrote about it.
        accepted: Changes between the base of the document and now. Empty when
            the base is no longer in the history.
        proposed: Changes that the refused document would make now.
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
    """The platform did not say before the deadline whether it accepted."""

    code = "config_outcome_unknown"


class GenerationNotFoundError(ConfigError):
    """The history no longer holds this generation."""

    code = "generation_not_found"


class DamagedConfigError(ConfigError):
    """Objects in the platform or from a peer do not form a configuration."""

    code = "config_damaged"
