"""Stored objects that cannot be used, whoever wrote them."""

from collections.abc import Callable
from collections.abc import Set
from typing import TypeVar

import banyandale_core as core
from banyandale_direct import _protocols as protocols
import banyandale_platform as platform

_Read = TypeVar("_Read")

# Objects that are remembered; the oldest one is forgotten first, and would be
# logged again.
MAX_REMEMBERED = 1024
# Longest reason in the log. It may quote what the object holds.
MAX_REASON_LENGTH = 200


class Rejections:
    """Reads stored objects one by one; those that cannot be read are reported.

    Each version of an object is logged and counted once.
    """

    def __init__(self, *, events: core.EventLog, metrics: core.Metrics) -> None:
        self._events = events
        self._metrics = metrics
        # Version of each object that was rejected last, by kind and name.
        self._versions: dict[tuple[str, str], int] = {}

    def read(
        self,
        stored: platform.StoredObject,
        decode: Callable[[platform.StoredObject], _Read],
    ) -> _Read | None:
        """Returns what `decode` makes of an object; None if that fails."""
        try:
            found = decode(stored)
        except protocols.MalformedEntryError as error:
            self._reject(stored, str(error))
            return None
        except Exception as error:  # Must not keep other objects from use.
            self._metrics.incr("internal_error")
            self._reject(stored, repr(error))
            return None
        self.forget(stored.kind, stored.name, reason="readable")
        return found

    def _reject(self, stored: platform.StoredObject, reason: str) -> None:
        key = stored.kind, stored.name
        if self._versions.get(key) == stored.version:
            return
        self._versions.pop(key, None)
        self._versions[key] = stored.version
        while len(self._versions) > MAX_REMEMBERED:
            del self._versions[next(iter(self._versions))]
        self._metrics.incr(f"entry_rejected:{stored.kind}")
        self._events.write(
            "entry_rejected",
            kind=stored.kind,
            name=stored.name,
            version=stored.version,
            error=reason[:MAX_REASON_LENGTH],
        )
        self._set_gauge(stored.kind)

    def forget(self, kind: str, name: str, *, reason: str = "deleted") -> None:
        """Records that an object is gone or can be read."""
        version = self._versions.pop((kind, name), None)
        if version is not None:
            self._events.write(
                "rejected_entry_gone",
                kind=kind,
                name=name,
                version=version,
                reason=reason,
            )
            self._set_gauge(kind)

    def keep_only(self, kind: str, names: Set[str]) -> None:
        """Records that there are no other objects of a kind."""
        for known_kind, name in tuple(self._versions):
            if known_kind == kind and name not in names:
                self.forget(kind, name)

    def _set_gauge(self, kind: str) -> None:
        count = sum(known == kind for known, _ in self._versions)
        self._metrics.gauge(f"rejected_entries.{kind}", count)
