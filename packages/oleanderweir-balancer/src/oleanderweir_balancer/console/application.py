"""Assembles the commands of the balancer."""

from __future__ import annotations

from oleanderweir.console import Application
from oleanderweir.console.commands import create_process_commands
from oleanderweir_balancer.console.options import create_balancer_options
from oleanderweir_balancer.factory import create_balancer
from oleanderweir_balancer.settings import BalancerSettings


NAME = "oleanderweir-balancer"


def create_application() -> Application:
    """Return the command line."""
    return Application(
        name=NAME,
        description="Forward the packets of callers to agents, and back.",
        commands=create_process_commands(
            role="balancer",
            options=create_balancer_options(),
            create_settings=BalancerSettings,
            create_process=create_balancer,
        ),
    )


def main() -> None:
    """Run the command line with the arguments of this process."""
    create_application().run()
