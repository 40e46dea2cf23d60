"""The part of a process that differs between balancer and agent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    import trio

    from oleanderweir.desired_state import Topic
    from oleanderweir.peering.messages import Message


class PacketProgram(Protocol):
    """A balancer or an agent, as the process runtime runs it."""

    @property
    def is_ready(self) -> bool:
        """Whether routers may send packets to this process."""

    @property
    def holds_no_flows(self) -> bool:
        """Whether this is an agent whose backend server holds no flows."""

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve the sockets of the program until cancelled."""

    def on_message(self, host: str, message: Message) -> None:
        """Process a message from the peer at ``host``."""

    def on_state_change(self, topic: Topic) -> None:
        """Apply a change of the published state."""

    def on_standstill(self) -> None:
        """Check what this process knew before it stood still."""

    async def drain(self) -> None:
        """Finish the remaining work; return when the process may stop."""
