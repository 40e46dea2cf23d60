"""What the console needs of a balancer or an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar
from typing import runtime_checkable

from oleanderweir.settings import ProcessSettings


if TYPE_CHECKING:
    import trio
    from prometheus_client import CollectorRegistry


SettingsT_contra = TypeVar(
    "SettingsT_contra", bound=ProcessSettings, contravariant=True
)


class ManagedProcess(Protocol):
    """A product object that serves until it is cancelled."""

    @property
    def is_ready(self) -> bool:
        """Whether it may be given work."""

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve; report started once sockets listen."""


@runtime_checkable
class DrainableProcess(Protocol):
    """A process with running work that a graceful shutdown must not cut."""

    async def drain(self) -> None:
        """Take no new work; return once nothing is left to finish."""


class ProcessFactory(Protocol[SettingsT_contra]):
    """Builds the product object from checked settings."""

    def __call__(
        self, settings: SettingsT_contra, *, registry: CollectorRegistry
    ) -> ManagedProcess:
        """Return the object, its counters registered."""
