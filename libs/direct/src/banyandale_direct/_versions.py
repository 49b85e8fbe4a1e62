"""Positions in the history of the store."""

from typing import NamedTuple


class Version(NamedTuple):
    """A position in the history of the store; later ones are greater.

    The store gives out revisions again when it comes back from an older copy,
    so that they order nothing without their era.

    Attributes:
        era: Number of times that the store has come back from a copy.
        revision: Revision of the store within the era.
    """

    era: int
    revision: int
