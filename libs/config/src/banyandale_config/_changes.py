"""Compares two documents by names of zones, services and servers."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import json
from typing import Any

from banyandale_config import _models as models

# Keys that identify the entries of each list. Entries are matched by these
# keys, so that moving an entry is not a change.
IDENTITY_KEYS = {"zones": "name", "services": "name", "servers": "address"}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One added, removed or changed value.

    Attributes:
        path: Keys and names that lead from the document to the value.
        old: Old JSON value; None if it was absent.
        new: New JSON value; None if it is absent.
    """

    path: tuple[str, ...]
    old: Any
    new: Any

    def __str__(self) -> str:
        path = "/".join(self.path)
        if self.old is None:
            return f"+ {path}: {_format(self.new)}"
        if self.new is None:
            return f"- {path}: {_format(self.old)}"
        return f"~ {path}: {_format(self.old)} -> {_format(self.new)}"


def _format(value: Any) -> str:
    return json.dumps(value, sort_keys=True, ensure_ascii=False)


def compare(
    old: models.Document | None, new: models.Document | None
) -> tuple[Change, ...]:
    """Returns the differences, ordered by path."""
    return tuple(_compare((), _dump(old), _dump(new)))


def _dump(document: models.Document | None) -> dict[str, Any]:
    return {} if document is None else document.model_dump(mode="json")


def _compare(path: tuple[str, ...], old: Any, new: Any) -> Iterator[Change]:
    if old == new:
        return
    if (key := _identity_key(path)) is not None:
        old, new = _index(old, key), _index(new, key)
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for name in sorted(old.keys() | new.keys()):
            yield from _compare((*path, name), old.get(name), new.get(name))
    else:
        yield Change(path=path, old=old, new=new)


def _identity_key(path: tuple[str, ...]) -> str | None:
    # A path of odd length ends with a key of the document, any other path with
    # the name of an entry. A service named "servers" is therefore not a list.
    return IDENTITY_KEYS.get(path[-1]) if len(path) % 2 else None


def _index(entries: Iterable[Any] | None, key: str) -> dict[str, Any]:
    return {entry[key]: entry for entry in entries or ()}
