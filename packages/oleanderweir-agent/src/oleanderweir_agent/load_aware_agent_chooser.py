"""Chooses the agent of a new flow by the load of its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir_agent.quic import AgentChoice


if TYPE_CHECKING:
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir_agent.load import ServiceGroup


class LoadAwareAgentChooser:
    """
    Chooses the agent of a new flow by the load reports of the service.

    Falls back to ``own_agent``, the agent of this process, if no backend server is a
    candidate or the chosen one is no longer configured.
    """

    def __init__(
        self,
        *,
        own_agent: AgentChoice,
        service_name: str,
        group: ServiceGroup,
        configuration: ConfigurationView,
    ) -> None:
        self.own_agent = own_agent
        self.service_name = service_name
        self.group = group
        self.configuration = configuration

    def choose(self) -> AgentChoice:
        """Return the agent whose backend server has the least expected utilization."""
        name = self.group.choose_backend()
        if name is None:
            return self.own_agent
        for server in self.configuration.backend_servers(self.service_name):
            if server.name == name:
                report = self.group.table.entries[name].report
                return AgentChoice(
                    address=server.agent_address, incarnation=report.incarnation
                )
        return self.own_agent
