"""The rule that ignores health when most of a group looks dead."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence


PANIC_THRESHOLD = 0.5


class HasHealth(Protocol):
    """Anything with a belief about its health."""

    @property
    def is_healthy(self) -> bool:
        """Whether it looks healthy."""


Member = TypeVar("Member", bound=HasHealth)


@attrs.frozen(kw_only=True)
class PanicFilter:
    """
    Leaves out the members that look dead, unless too many do.

    When fewer than ``panic_threshold`` of the members look healthy, the evidence is
    more likely to be wrong than the members, and all of them are kept.
    """

    panic_threshold: float = PANIC_THRESHOLD

    def is_panic(self, members: Sequence[Member]) -> bool:
        """Whether so many look dead that health is ignored."""
        healthy = sum(member.is_healthy for member in members)
        return healthy < self.panic_threshold * len(members)

    def usable(self, members: Sequence[Member]) -> list[Member]:
        """Return the members that new work may go to."""
        if self.is_panic(members):
            return list(members)
        return [member for member in members if member.is_healthy]
