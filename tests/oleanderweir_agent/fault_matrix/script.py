from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from tests.oleanderweir_agent.fault_matrix.fault import Fault
    from tests.oleanderweir_agent.fault_matrix.step import Step


@attrs.frozen(kw_only=True)
class ScheduledFault:
    """One fault at one step."""

    step: Step
    fault: Fault


@attrs.define(kw_only=True)
class Script:
    """The faults that are still to come; each occurs once, in order."""

    scheduled_faults: list[ScheduledFault]

    def pop_fault(self, step: Step) -> Fault | None:
        """Return the fault scheduled for this step, if it is the next one."""
        if self.scheduled_faults and self.scheduled_faults[0].step is step:
            return self.scheduled_faults.pop(0).fault
        return None

    @property
    def is_exhausted(self) -> bool:
        """Whether every fault has struck."""
        return not self.scheduled_faults
