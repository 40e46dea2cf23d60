"""Interfaces that the console requires of a balancer or an agent."""

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
    """A balancer or an agent that serves until it is cancelled."""

    @property
    def is_ready(self) -> bool:
        """Whether the process is ready for traffic."""

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled; report started once the sockets are listening."""


@runtime_checkable
class DrainableProcess(Protocol):
    """A process whose work in flight a graceful shutdown must not interrupt."""

    async def drain(self) -> None:
        """Accept no new work; return once all work in flight has completed."""


class ProcessFactory(Protocol[SettingsT_contra]):
    """Creates the process from validated settings."""

    def __call__(
        self, settings: SettingsT_contra, *, registry: CollectorRegistry
    ) -> ManagedProcess:
        """Return the process with its metrics registered in ``registry``."""
