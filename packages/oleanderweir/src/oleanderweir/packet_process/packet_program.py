"""What a process does beside its sockets to peers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol


if TYPE_CHECKING:
    import trio

    from oleanderweir.desired_state import Topic
    from oleanderweir.peering.messages import Message


class PacketProgram(Protocol):
    """A balancer or an agent."""

    @property
    def is_ready(self) -> bool:
        """Whether routers may send packets here."""

    @property
    def holds_no_flows(self) -> bool:
        """Whether this is an agent whose backend server has ended."""

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve the sockets of the program until cancelled."""

    def on_message(self, host: str, message: Message) -> None:
        """Take a message of a peer in."""

    def on_state_change(self, topic: Topic) -> None:
        """Take a change of the published state in."""

    async def drain(self) -> None:
        """Return when the process may end."""
