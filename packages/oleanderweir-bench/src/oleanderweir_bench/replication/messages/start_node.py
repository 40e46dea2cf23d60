"""Requests the start of a node."""

from __future__ import annotations

import attrs

from oleanderweir_bench.replication.messages.node_plan import NodePlan  # noqa: TC001


@attrs.frozen(kw_only=True)
class StartNode:
    """Requests that a worker start a node."""

    node: NodePlan
