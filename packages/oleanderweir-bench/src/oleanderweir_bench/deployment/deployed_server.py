"""A backend server of a deployment and the agent beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir.configuration import BackendServer
    from oleanderweir.net import SocketAddress
    from oleanderweir_bench.processes import SupervisedProcess


@attrs.frozen(kw_only=True, eq=False)
class DeployedServer:
    """A backend server, the agent beside it, and ``entry`` as published in tickets."""

    entry: BackendServer
    backend_address: SocketAddress
    admin_address: SocketAddress
    backend_process: SupervisedProcess
    agent_process: SupervisedProcess
