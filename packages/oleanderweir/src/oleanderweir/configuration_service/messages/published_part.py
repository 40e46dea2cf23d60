"""What all messages that come in parts have in common."""

from __future__ import annotations

from typing import Protocol


class PublishedPart(Protocol):
    """One of the parts in which a state is published."""

    @property
    def part(self) -> int:
        """The number of the part, from 0."""

    @property
    def parts(self) -> int:
        """The number of parts."""

    @property
    def state_id(self) -> tuple[int, ...]:
        """What is the same in all parts of one state, and differs between states."""
