"""The default error message of each rejection reason."""

from __future__ import annotations

from oleanderweir_agent.verdicts.rejection_reason import RejectionReason


REJECTION_MESSAGES = {
    RejectionReason.AGENT_STARTING: (
        "the agent has not received its configuration; retry later"
    ),
    RejectionReason.BACKEND_DEAD: (
        "the backend server keeps failing requests; restart it"
    ),
    RejectionReason.BACKEND_PAUSED: "the backend server requested a pause; retry later",
    RejectionReason.BACKEND_SHED: "the backend server shed the request; retry later",
    RejectionReason.BACKEND_UNREACHABLE: (
        "cannot connect to the backend server; check that it runs"
    ),
    RejectionReason.CONNECTIONS_FULL: "all connections are in use; open a new session",
    RejectionReason.DEADLINE_PAST: (
        "the deadline had passed on arrival; set a longer timeout"
    ),
    RejectionReason.DEADLINE_UNREACHABLE: (
        "the expected wait exceeds the deadline; retry later"
    ),
    RejectionReason.DRAINING: "the backend server is draining; open a new session",
    RejectionReason.INVALID_REQUEST: (
        "the request is not valid HTTP; correct the caller"
    ),
    RejectionReason.NO_PEER: "no peer accepted the request; retry later",
    RejectionReason.QUEUE_TIMEOUT: (
        "no slot became free in time; offer the request to a peer"
    ),
    RejectionReason.PEER_REFUSED: "the peers rejected the request; retry later",
    RejectionReason.QUEUE_FULL: "the queue is full; retry later or add slots",
    RejectionReason.RETRIES_EXHAUSTED: "all attempts failed; retry later",
    RejectionReason.WAIT_TOO_LONG: (
        "the expected wait exceeds the offer's limit; try another peer"
    ),
}
