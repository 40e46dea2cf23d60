from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from tests.oleanderweir_agent.fault_matrix.script import ScheduledFault


class RunLocation(enum.Enum):
    """Where the request runs if no fault is injected."""

    LOCAL = "own"
    PEER = "peer"


@attrs.frozen(kw_only=True)
class Cell:
    """A case of the matrix: a request, where it runs, and the injected faults."""

    method: str
    location: RunLocation
    scheduled_faults: tuple[ScheduledFault, ...]
    has_copies: bool = False

    @property
    def name(self) -> str:
        scheduled_faults = "+".join(
            f"{scheduled.step.name.lower()}:{scheduled.fault.name.lower()}"
            for scheduled in self.scheduled_faults
        )
        return f"{self.method}-{self.location.value}-{scheduled_faults}"
