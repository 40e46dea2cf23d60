"""Whether the backend server beside the agent is still the one that it knew."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from oleanderweir.desired_state import BackendRecord
    from oleanderweir_agent.forwarding.flow_admission import FlowAdmission


logger = logging.getLogger(__name__)

# For agents without platform settings, which give the lease of their store.
DEFAULT_RECORD_LEASE_S = 4.0


class BackendContinuity:
    """
    Doubts the identity of the backend server after it stopped, or may have.

    An address may pass to a backend server of another service seconds after the loss of
    the one before, which stays published until its lease ends. Neither a probe nor the
    answer to an opening packet tells them apart. So after a proven stop, and after a
    standstill of this process in which it may have missed one, new flows are rejected
    until one of these shows that the backend server is of this agent's service: it
    sends a packet of a flow that was open before, which another one can't hold; a newer
    start is published; or its record is still published once the lease has passed.

    ``record_lease_s`` is how long the record of a lost backend server may stay
    published, in seconds. Times are in seconds of trio's clock.
    """

    def __init__(
        self,
        *,
        admission: FlowAdmission,
        record_lease_s: float = DEFAULT_RECORD_LEASE_S,
    ) -> None:
        self.admission = admission
        self.record_lease_s = record_lease_s
        self.doubted_since: float | None = None
        # The start of the backend server that was published when the doubt began.
        self.doubted_start_ms = 0

    def on_doubt(self, *, now: float, reason: str) -> None:
        """Doubt the identity: the backend server has stopped, or may have."""
        self.doubted_since = now
        self.doubted_start_ms = _start_of(self.admission.record)
        logger.warning(
            "no new flows until the backend server is known to be of this service",
            extra={
                "code": "backend_doubted",
                "reason": reason,
                "started_at_ms": self.doubted_start_ms,
            },
        )

    def on_held_flow(self) -> None:
        """End the doubt: the backend server sent a packet of an open flow."""
        if self.doubted_since is not None:
            self._end(proof="held_flow")

    def update(self, *, now: float) -> None:
        """End the doubt if the published record has proved the backend server."""
        proof = self._find_proof(now=now)
        if proof is not None:
            self._end(proof=proof)

    def is_doubted(self, *, now: float) -> bool:
        """Whether the backend server may be one of another service."""
        return self.doubted_since is not None and self._find_proof(now=now) is None

    def _find_proof(self, *, now: float) -> str | None:
        """Return what in the published record ends the doubt, or None."""
        record = self.admission.record
        if self.doubted_since is None or record is None:
            return None
        if record.service != self.admission.service:
            return None
        if record.started_at_ms != self.doubted_start_ms:
            return "new_start"
        # The record of a backend server that was lost by then would be gone.
        lease_end = self.doubted_since + self.record_lease_s
        if now >= lease_end and self.admission.proof.proved_at >= lease_end:
            return "lease"
        return None

    def _end(self, *, proof: str) -> None:
        self.doubted_since = None
        logger.info(
            "the backend server is known to be of this service",
            extra={"code": "backend_recognised", "proof": proof},
        )


def _start_of(record: BackendRecord | None) -> int:
    """Return the start of a record in Unix milliseconds, 0 without one."""
    return 0 if record is None else record.started_at_ms
