"""How recently the published state of this process was proved."""

from __future__ import annotations

from typing import Protocol

import attrs


class StateProof(Protocol):
    """When the published state was last proved to be that of the source."""

    @property
    def is_stale(self) -> bool:
        """Whether the process stood still, and its state was not proved since."""

    @property
    def proved_at(self) -> float:
        """When the state was last proved, in seconds of trio's clock."""


@attrs.frozen(kw_only=True)
class FixedProof:
    """A proof that never changes; by default, that of a state without a source."""

    is_stale: bool = False
    proved_at: float = float("inf")
