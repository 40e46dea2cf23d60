"""A floor declared by the operators."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class FloorDeclaration:
    """A floor, and the highest ticket that was published when it was declared."""

    floor: int
    highest_ticket: int
