from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from tests.oleanderweir_agent.fault_matrix.script import Strike


class Way(enum.Enum):
    """Where the request runs if nothing happens."""

    OWN = "own"
    PEER = "peer"


@attrs.frozen(kw_only=True)
class Cell:
    """One run of the matrix: a request, its way, and the faults that strike it."""

    method: str
    way: Way
    strikes: tuple[Strike, ...]

    @property
    def name(self) -> str:
        strikes = "+".join(
            f"{strike.step.name.lower()}:{strike.fault.name.lower()}"
            for strike in self.strikes
        )
        return f"{self.method}-{self.way.value}-{strikes}"
