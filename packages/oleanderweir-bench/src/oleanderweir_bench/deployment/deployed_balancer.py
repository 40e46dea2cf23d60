"""A balancer process of a deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.net import SocketAddress
    from oleanderweir_bench.processes import SupervisedProcess


@attrs.frozen(kw_only=True, eq=False)
class DeployedBalancer:
    """A balancer process; it listens for every service on ``host``."""

    name: str
    host: str
    admin_address: SocketAddress
    process: SupervisedProcess
