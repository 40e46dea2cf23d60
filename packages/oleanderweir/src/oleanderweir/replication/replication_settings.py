"""Intervals, timeouts and limits of the replication."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ReplicationSettings:
    """
    Intervals, timeouts and limits of the replication, with production defaults.

    ``ring_count`` is the number of hash rings, on each of which a process dials one
    successor. ``readers_per_zone`` is the number of processes of each availability
    zone that watch the configuration service. The others poll it at random times, all
    those of a zone together ``zone_polls_per_s`` times a second on average, but the
    mean time between the polls of each is at least ``poll_interval_min_s`` and at most
    ``poll_interval_max_s``. A process checks its selection of peers every
    ``selection_interval_s``. Sessions compare registers every ``heartbeat_interval_s``
    while these are equal, and every ``repair_interval_s`` while they differ, but a
    difference within ``settle_time_s`` of a change is not repaired. A booting process
    waits up to ``peer_boot_timeout_s`` for the state of peers before it reads the
    service, and fetches from a peer that also boots only after
    ``booting_peer_delay_s``.
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
    zone_polls_per_s: float = 4.0
    poll_interval_min_s: float = 1.5
    poll_interval_max_s: float = 600.0
    read_backoff_min_s: float = 0.5
    read_backoff_max_s: float = 30.0
    observed_lease_s: float = 120.0
    cold_start_peers: int = 16
    peer_boot_timeout_s: float = 8.0
    booting_peer_delay_s: float = 3.0
