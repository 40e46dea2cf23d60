"""Metrics of the replication between peers."""

from __future__ import annotations

from prometheus_client import Counter
from prometheus_client import Gauge


CONTROL_BYTES = Counter(
    "oleanderweir_control_bytes",
    "Bytes of messages between peers with an allowance for framing, by direction.",
    ["direction"],
)
CONTROL_DELAYS = Counter(
    "oleanderweir_control_delays",
    "Messages that waited because the control budget was spent.",
)
BUDGET_DELAY_SECONDS = Counter(
    "oleanderweir_control_delay_seconds",
    "Seconds that messages waited because the control budget was spent.",
)
REPAIRS_DEFERRED = Counter(
    "oleanderweir_control_repairs_deferred",
    "Bucket contents that waited for the reserve of the control budget.",
)
SESSIONS_OPENED = Counter(
    "oleanderweir_peer_sessions_opened",
    "Sessions with peers that completed their greeting, by side.",
    ["side"],
)
SESSIONS_ENDED = Counter(
    "oleanderweir_peer_sessions_ended",
    "Sessions with peers that ended or never came about, by reason.",
    ["reason"],
)
SESSIONS_REFUSED = Counter(
    "oleanderweir_peer_sessions_refused",
    "Sessions that were refused, by reason.",
    ["reason"],
)
DIAL_RETRIES = Counter(
    "oleanderweir_peer_dial_retries",
    "Repeated attempts to reach a peer, by reason.",
    ["reason"],
)
BUCKETS_REPAIRED = Counter(
    "oleanderweir_buckets_repaired",
    "Buckets whose content was taken from a peer.",
)
ENTRIES_PUSHED = Counter(
    "oleanderweir_entries_pushed",
    "Entries that were pushed to peers.",
)
REPAIRS_SKIPPED = Counter(
    "oleanderweir_repairs_skipped",
    "Differing digests that led to no repair, by reason.",
    ["reason"],
)
CONFIGURATION_READS = Counter(
    "oleanderweir_configuration_reads",
    "Reads of tickets at the configuration service, by kind and outcome.",
    ["kind", "outcome"],
)
INSTANCE_LIST_READS = Counter(
    "oleanderweir_instance_list_reads",
    "Reads of the instance list, by outcome.",
    ["outcome"],
)
PAUSES = Counter(
    "oleanderweir_process_pauses",
    "Times that the process found itself paused.",
)
PEER_SESSIONS = Gauge(
    "oleanderweir_peer_sessions",
    "Sessions with peers that are open now.",
)
IS_READER = Gauge(
    "oleanderweir_is_reader",
    "Whether this process watches the configuration service.",
)
