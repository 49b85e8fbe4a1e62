"""Problems of a document, with the path of the value they are about."""

import dataclasses
import enum

Path = tuple[str | int, ...]


class Severity(enum.Enum):
    """Whether a problem prevents the document from taking effect."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One problem of a document."""

    path: Path
    text: str
    severity: Severity = Severity.ERROR

    @property
    def is_error(self) -> bool:
        """Whether the document cannot take effect because of it."""
        return self.severity is Severity.ERROR

    def __str__(self) -> str:
        return f"{self.severity.value}: {format_path(self.path)}: {self.text}"


def format_path(path: Path) -> str:
    """Formats a path as `services[0].servers[2].zone`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text or "document"
