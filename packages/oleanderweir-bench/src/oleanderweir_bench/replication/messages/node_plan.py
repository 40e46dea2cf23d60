"""The parameters of one node of the experiment."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class NodePlan:
    """Name, role and location of a node; ``port`` is on the loopback address."""

    name: str
    role: str
    region: str
    availability_zone: str
    port: int
