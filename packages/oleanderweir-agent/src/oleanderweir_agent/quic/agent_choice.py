"""The agent that a new flow is sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class AgentChoice:
    """The address and the incarnation of a chosen agent."""

    address: SocketAddress
    incarnation: int


class AgentChooser(Protocol):
    """Chooses the agent that serves a new flow."""

    def choose(self) -> AgentChoice:
        """Return an agent of this agent's own service, possibly itself."""
