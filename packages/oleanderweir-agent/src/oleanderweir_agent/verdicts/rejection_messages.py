"""What to do about each reason of a refusal."""

from __future__ import annotations

from oleanderweir_agent.verdicts.rejection_reason import RejectionReason


REJECTION_MESSAGES = {
    RejectionReason.AGENT_STARTING: "the agent has no configuration yet; retry later",
    RejectionReason.BACKEND_DEAD: "the backend server fails its requests; restart it",
    RejectionReason.BACKEND_PAUSED: "the backend server asked for a pause; retry later",
    RejectionReason.BACKEND_SHED: "the backend server shed the request; retry later",
    RejectionReason.BACKEND_UNREACHABLE: "the backend server is not reached; check it",
    RejectionReason.CONNECTIONS_FULL: "all connections are in use; open a new session",
    RejectionReason.DEADLINE_PAST: "the deadline was past on arrival; allow more time",
    RejectionReason.DEADLINE_UNREACHABLE: "the queue outlasts the deadline; retry",
    RejectionReason.DRAINING: "the backend server is leaving; open a new session",
    RejectionReason.INVALID_REQUEST: "the request is no valid HTTP; correct the caller",
    RejectionReason.NO_PEER: "no peer could take the request; retry later",
    RejectionReason.QUEUE_TIMEOUT: "no slot came free in time; offer it to a peer",
    RejectionReason.PEER_REFUSED: "the peers refused the request; retry later",
    RejectionReason.QUEUE_FULL: "the queue is full; retry later or add slots",
    RejectionReason.RETRIES_EXHAUSTED: "no attempt is left; retry later",
    RejectionReason.WAIT_TOO_LONG: "the wait is longer than the offer allows",
}
