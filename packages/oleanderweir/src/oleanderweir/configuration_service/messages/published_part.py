"""The common interface of the messages that are published in parts."""

from __future__ import annotations

from typing import Protocol


class PublishedPart(Protocol):
    """One part of a published state."""

    @property
    def part(self) -> int:
        """The number of this part, starting at 0."""

    @property
    def parts(self) -> int:
        """The number of parts of the state."""

    @property
    def state_id(self) -> tuple[int, ...]:
        """Values that are equal in all parts of one state and differ between states."""
