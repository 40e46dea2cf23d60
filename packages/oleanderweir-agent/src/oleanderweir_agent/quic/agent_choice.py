"""Selection of the agent that serves a new flow."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress


@attrs.frozen(kw_only=True)
class AgentChoice:
    """Address and incarnation of the chosen agent."""

    address: SocketAddress
    incarnation: int


class AgentChooser(Protocol):
    """Chooses the agent that serves a new flow."""

    def choose(self) -> AgentChoice:
        """Return an agent of the same service, possibly this agent."""
