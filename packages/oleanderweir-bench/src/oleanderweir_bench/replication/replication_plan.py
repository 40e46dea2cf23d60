"""Sizes and durations of a replication experiment."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ReplicationPlan:
    """
    Sizes and durations of a replication experiment; durations are in seconds.

    ``preset_tickets`` tickets with ``services_per_ticket`` services each are published
    before the first node starts.
    """

    node_count: int
    worker_count: int = 4
    preset_tickets: int = 10
    services_per_ticket: int = 20
    rest_s: float = 20.0
    single_tickets: int = 10
    single_interval_s: float = 1.5
    burst_tickets: int = 200
    freeze_s: float = 30.0
    frozen_tickets: int = 5
    timeout_s: float = 60.0
