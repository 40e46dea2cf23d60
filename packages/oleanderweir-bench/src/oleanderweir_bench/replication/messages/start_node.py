"""Asks a worker to start a node."""

from __future__ import annotations

import attrs

from oleanderweir_bench.replication.messages.node_plan import NodePlan  # noqa: TC001


@attrs.frozen(kw_only=True)
class StartNode:
    """Asks a worker to start a node."""

    node: NodePlan
