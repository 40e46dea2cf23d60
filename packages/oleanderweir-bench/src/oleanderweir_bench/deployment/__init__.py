"""A complete deployment on one machine: platform, fabric, balancers, agents."""

from __future__ import annotations

from oleanderweir_bench.deployment.address_plan import AddressPlan
from oleanderweir_bench.deployment.balancer_kind import BalancerKind
from oleanderweir_bench.deployment.deployed_balancer import DeployedBalancer
from oleanderweir_bench.deployment.deployed_server import DeployedServer
from oleanderweir_bench.deployment.deployment import Deployment
from oleanderweir_bench.deployment.ports import find_free_port
from oleanderweir_bench.deployment.ticket_writer import TicketWriter


__all__ = [
    "AddressPlan",
    "BalancerKind",
    "DeployedBalancer",
    "DeployedServer",
    "Deployment",
    "TicketWriter",
    "find_free_port",
]
