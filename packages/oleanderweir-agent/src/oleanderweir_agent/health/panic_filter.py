"""Filters members by health, unless most of them appear unhealthy."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

import attrs


if TYPE_CHECKING:
    from collections.abc import Sequence


PANIC_THRESHOLD = 0.5


class HasHealth(Protocol):
    """A member of a group that has a health state."""

    @property
    def is_healthy(self) -> bool:
        """Whether the member appears healthy."""


Member = TypeVar("Member", bound=HasHealth)


@attrs.frozen(kw_only=True)
class PanicFilter:
    """
    Excludes members that appear unhealthy, unless too many do.

    If the share of healthy members is below ``panic_threshold``, the health data is
    more likely to be wrong than the members, so all members stay usable.
    """

    panic_threshold: float = PANIC_THRESHOLD

    def is_panic(self, members: Sequence[Member]) -> bool:
        """Whether so few members appear healthy that health is ignored."""
        healthy = sum(member.is_healthy for member in members)
        return healthy < self.panic_threshold * len(members)

    def usable(self, members: Sequence[Member]) -> list[Member]:
        """Return the members that may receive new work."""
        if self.is_panic(members):
            return list(members)
        return [member for member in members if member.is_healthy]
