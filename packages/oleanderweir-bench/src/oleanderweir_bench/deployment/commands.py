"""Commands that start balancers and agents."""

from __future__ import annotations

import sys

from oleanderweir_bench.deployment.balancer_kind import BalancerKind


def balancer_command(kind: BalancerKind) -> list[str]:
    """Return the command that runs a balancer."""
    if kind is BalancerKind.RENDEZVOUS:
        return [sys.executable, "-m", "oleanderweir_bench", "rendezvous-balancer"]
    return [sys.executable, "-m", "oleanderweir_balancer", "run"]


def agent_command() -> list[str]:
    """Return the command that runs an agent."""
    return [sys.executable, "-m", "oleanderweir_agent", "run"]
