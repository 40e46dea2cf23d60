"""An operator's order to evacuate an availability zone."""

from __future__ import annotations

import attrs

from oleanderweir.desired_state.topic import Change  # noqa: TC001


@attrs.frozen(kw_only=True)
class EvacuationOrder:
    """
    The write of the order for ``zone``, or its withdrawal, as the source has it.

    It is a withdrawal if ``change`` has no document.
    """

    zone: str
    change: Change

    @property
    def is_withdrawal(self) -> bool:
        """Whether the order was withdrawn."""
        return self.change.document is None
