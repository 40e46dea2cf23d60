"""Run the baseline: a balancer that hashes addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import mock

from oleanderweir.console.commands import RunCommand
from oleanderweir_balancer import balancer as balancer_module
from oleanderweir_balancer.console.options import create_balancer_options
from oleanderweir_balancer.factory import create_balancer
from oleanderweir_balancer.settings import BalancerSettings
from oleanderweir_bench.churn.rendezvous_listener import RendezvousListener


if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from oleanderweir_balancer.balancer import Balancer


def create_rendezvous_balancer(
    settings: BalancerSettings, *, registry: CollectorRegistry
) -> Balancer:
    """Return a balancer whose listeners hash addresses."""
    # The balancer has one way of routing and no setting to replace it, so the class
    # of its listeners is patched.
    mock.patch.object(balancer_module, "ServiceListener", RendezvousListener).start()
    return create_balancer(settings, registry=registry)


command = RunCommand(
    role="balancer",
    options=create_balancer_options(),
    create_settings=BalancerSettings,
    create_process=create_rendezvous_balancer,
).to_click()
