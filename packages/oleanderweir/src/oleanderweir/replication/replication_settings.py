"""Periods and sizes of spreading."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ReplicationSettings:
    """
    Periods and sizes of spreading; the defaults are meant for production.

    ``ring_count`` is the number of peers that a process keeps a session with on its
    own account, ``readers_per_zone`` the number of watching processes of each
    availability zone. A process looks at its list of peers every
    ``selection_interval_s``.
    """

    ring_count: int = 3
    readers_per_zone: int = 3
    max_sessions: int = 48
    batch_delay_s: float = 0.05
    heartbeat_interval_s: float = 8.0
    repair_interval_s: float = 1.0
    settle_time_s: float = 1.0
    receive_timeout_s: float = 20.0
    hello_timeout_s: float = 3.0
    send_timeout_s: float = 5.0
    dial_backoff_min_s: float = 0.5
    dial_backoff_max_s: float = 20.0
    suspicion_s: float = 30.0
    selection_interval_s: float = 1.0
    zone_list_interval_s: float = 300.0
    fleet_list_interval_s: float = 3600.0
    poll_interval_s: float = 600.0
    read_backoff_min_s: float = 0.5
    read_backoff_max_s: float = 30.0
    learned_lease_s: float = 120.0
    cold_start_peers: int = 16
    peer_boot_timeout_s: float = 8.0
    booting_peer_delay_s: float = 3.0
