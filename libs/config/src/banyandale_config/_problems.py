"""Problems found in a document, each with the path of the value."""

import dataclasses
import enum

Path = tuple[str | int, ...]


class Severity(enum.Enum):
    """Whether a problem prevents the document from taking effect."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """A problem found in a document.

    Attributes:
        path: Keys and indexes that lead to the value.
        text: Description of the problem.
        severity: Whether the problem is an error or a warning.
    """

    path: Path
    text: str
    severity: Severity = Severity.ERROR

    @property
    def is_error(self) -> bool:
        """Whether the problem prevents the document from taking effect."""
        return self.severity is Severity.ERROR

    def __str__(self) -> str:
        return f"{self.severity.value}: {format_path(self.path)}: {self.text}"


def format_path(path: Path) -> str:
    """Formats a path as `services[0].servers[2].zone`."""
    text = ""
    for key in path:
        if isinstance(key, int):
            text += f"[{key}]"
        else:
            text += f".{key}" if text else key
    return text or "document"
