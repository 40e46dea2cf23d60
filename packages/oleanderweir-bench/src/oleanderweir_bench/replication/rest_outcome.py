"""The measurements of a fleet at rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from oleanderweir_bench.replication.usage_per_node import UsagePerNode


@attrs.frozen(kw_only=True)
class RestOutcome:
    """
    The measurements while nothing changes.

    A waiting watch counts as one read per second.
    """

    reads_per_s: float
    usage: UsagePerNode
