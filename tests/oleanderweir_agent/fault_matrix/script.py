from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from tests.oleanderweir_agent.fault_matrix.fault import Fault
    from tests.oleanderweir_agent.fault_matrix.step import Step


@attrs.frozen(kw_only=True)
class Strike:
    """One fault at one step."""

    step: Step
    fault: Fault


@attrs.define(kw_only=True)
class Script:
    """The faults that are still to come; each strikes once, in order."""

    strikes: list[Strike]

    def take(self, step: Step) -> Fault | None:
        """Return the fault that strikes here, if it is the next one."""
        if self.strikes and self.strikes[0].step is step:
            return self.strikes.pop(0).fault
        return None

    @property
    def is_played(self) -> bool:
        """Whether every fault has struck."""
        return not self.strikes
