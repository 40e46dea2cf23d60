from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from tests.oleanderweir_agent.fault_matrix.fault import Fault
    from tests.oleanderweir_agent.fault_matrix.step import Step


@attrs.frozen(kw_only=True)
class ScheduledFault:
    """A fault and the step at which it is injected."""

    step: Step
    fault: Fault


@attrs.define(kw_only=True)
class Script:
    """The faults still to be injected; each is injected once, in order."""

    scheduled_faults: list[ScheduledFault]

    def pop_fault(self, step: Step) -> Fault | None:
        """Remove and return the next fault if it is scheduled for this step."""
        if self.scheduled_faults and self.scheduled_faults[0].step is step:
            return self.scheduled_faults.pop(0).fault
        return None

    @property
    def is_exhausted(self) -> bool:
        """Whether every fault has been injected."""
        return not self.scheduled_faults
