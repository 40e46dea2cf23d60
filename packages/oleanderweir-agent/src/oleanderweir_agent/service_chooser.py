"""Chooses the agent of a new flow by the load of the service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir_agent.quic import AgentChoice


if TYPE_CHECKING:
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir_agent.load import ServiceGroup


class ServiceChooser:
    """Names the agent that a new flow goes to; ``own`` when nothing better is known."""

    def __init__(
        self,
        *,
        own: AgentChoice,
        service_name: str,
        group: ServiceGroup,
        configuration: ConfigurationView,
    ) -> None:
        self.own = own
        self.service_name = service_name
        self.group = group
        self.configuration = configuration

    def choose(self) -> AgentChoice:
        """Return the agent of the backend server with the least expected use."""
        name = self.group.choose_backend()
        if name is None:
            return self.own
        for server in self.configuration.backend_servers(self.service_name):
            if server.name == name:
                report = self.group.table.entries[name].report
                return AgentChoice(
                    address=server.agent_address, incarnation=report.incarnation
                )
        return self.own
