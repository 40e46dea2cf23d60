"""Creates an agent from validated settings."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from oleanderweir.control import ControlPlane
from oleanderweir.membership import InstanceRole
from oleanderweir_agent.agent import Agent
from oleanderweir_agent.metrics import AgentMetrics
from oleanderweir_agent.verdicts import RequestMetrics


if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from oleanderweir_agent.settings import AgentSettings


def create_agent(settings: AgentSettings, *, registry: CollectorRegistry) -> Agent:
    """
    Return an agent with its sockets bound.

    Raise ``AddressInUseError`` if an address is in use, and ``InvalidSettingError`` if
    TLS material for peers is missing.
    """
    control_plane = ControlPlane(
        settings=settings, role=InstanceRole.AGENT, data_address=settings.agent_address
    )
    return Agent(
        backend_server_name=settings.backend_server,
        agent_address=settings.agent_address,
        peer_address=settings.peer_address,
        backend_address=settings.backend_address,
        tls_certificate=settings.tls_certificate,
        tls_private_key=settings.tls_private_key,
        key_ring=settings.key_ring,
        configuration=control_plane.view,
        control_plane=control_plane,
        metrics=AgentMetrics(registry=registry),
        request_metrics=RequestMetrics(registry=registry),
        random_source=random.Random(),
    )
