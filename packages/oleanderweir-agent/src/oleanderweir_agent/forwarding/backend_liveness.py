"""
Whether the backend server beside the agent is gone.

Answers the load after a crash that nobody announces: its entry stays published for
seconds, new flows would go there, and callers of its old flows would wait until their
time is over. A live backend server reacts to each opening packet at once, so only
those count: a long request, or the last acknowledgements of an answer, stay without a
reaction for longer. A refused connection is a proof, if connections were accepted
before and nothing came for a moment: a backend server that starts may take packets
before it listens.
"""

from __future__ import annotations

from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome


# Opening packets without any reaction before a backend server counts as gone; one may
# have been dropped on the way.
MIN_UNANSWERED_OPENINGS = 2
# How long nothing came since the first of them.
DOWN_AFTER_S = 0.5
# A backend server that is gone is tried with new flows for ``DOWN_AFTER_S`` in each
# such period, since nothing else may bring a packet of it.
TRIAL_PERIOD_S = 1.5
# A backend server that left packets without a reaction for this long is probed.
SUSPECT_AFTER_S = 0.1
SUSPECT_PAYLOAD_AFTER_S = 0.4
MIN_UNANSWERED_PAYLOADS = 2
# Between two probes.
PROBE_INTERVAL_S = 0.3
# How long nothing may have come for a refused connection to count.
QUIET_S = 0.3
# A process that didn't run for this long may have unread packets waiting.
PAUSE_S = 0.3


class BackendLiveness:
    """Opening packets that the backend server left without any reaction."""

    def __init__(self) -> None:
        self.unanswered_openings = 0
        self.unanswered_openings_since = 0.0
        # How long nothing came since then while this process ran: after a pause of its
        # own the answers may lie in its socket, unread.
        self.silent_s = 0.0
        self.last_packet_at = float("-inf")
        self.last_tick_at = float("-inf")
        # Payload that was handed over since the last packet that came.
        self.unanswered_payloads = 0
        self.unanswered_payloads_since = 0.0
        self.probed_at = float("-inf")
        # Whether the last probe was refused, and nothing came since.
        self.is_refused = False
        # Whether a connection was accepted since the last proof of an end, and when.
        self.was_accepted = False
        self.accepted_at = float("-inf")
        # Whether the backend server is proved to have ended, and nothing came since.
        self.has_stopped = False

    def on_payload(self, *, now: float) -> None:
        """Note payload that went to the backend server."""
        if self.unanswered_payloads == 0:
            self.unanswered_payloads_since = now
        self.unanswered_payloads += 1

    def needs_probe(self, *, now: float) -> bool:
        """Whether it should be found out if anything still listens."""
        if now - self.probed_at < PROBE_INTERVAL_S:
            return False
        if self.is_refused or not self.was_accepted:
            return True
        if (
            self.unanswered_openings
            and now - self.unanswered_openings_since > SUSPECT_AFTER_S
        ):
            return True
        return (
            self.unanswered_payloads >= MIN_UNANSWERED_PAYLOADS
            and now - self.unanswered_payloads_since > SUSPECT_PAYLOAD_AFTER_S
        )

    def on_probe_outcome(self, outcome: ProbeOutcome, *, now: float) -> None:
        """Note the outcome of a probe that was made at a moment."""
        self.probed_at = now
        if outcome is ProbeOutcome.SILENT:
            return
        self.is_refused = outcome is ProbeOutcome.REFUSED
        if outcome is ProbeOutcome.ACCEPTED:
            self.was_accepted = True
            self.accepted_at = now
            self.has_stopped = False
        elif self.was_accepted and now - self.last_packet_at > QUIET_S:
            self.was_accepted = False
            self.has_stopped = True

    def on_opening(self, *, now: float) -> None:
        """Note an opening packet that went to the backend server."""
        if self.unanswered_openings == 0:
            self.unanswered_openings_since = now
            self.silent_s = 0.0
        self.unanswered_openings += 1

    def on_backend_packet(self, *, now: float) -> None:
        """Note any packet that came from the backend server."""
        self.unanswered_openings = 0
        self.unanswered_payloads = 0
        self.is_refused = False
        self.has_stopped = False
        self.last_packet_at = now

    def on_tick(self, *, now: float) -> None:
        """Count the silence on; start anew after a pause of this process."""
        if now - self.last_tick_at > PAUSE_S:
            self.unanswered_openings = 0
        self.silent_s += now - max(self.last_tick_at, self.unanswered_openings_since)
        self.last_tick_at = now

    def is_down(self) -> bool:
        """
        Whether the backend server has ended, or seems to have.

        One that accepts connections lives, and holds its flows, even if its packets
        don't come through.
        """
        if self.has_stopped:
            return True
        return (
            self.is_unresponsive() and self.accepted_at < self.unanswered_openings_since
        )

    def is_unresponsive(self) -> bool:
        """Whether the backend server left opening packets without any reaction."""
        if self.unanswered_openings < MIN_UNANSWERED_OPENINGS:
            return False
        return self.silent_s > DOWN_AFTER_S

    def allows_new_flows(self) -> bool:
        """Whether a new flow may go to the backend server."""
        if self.has_stopped:
            return False
        if not self.is_unresponsive():
            return True
        return self.silent_s % TRIAL_PERIOD_S < DOWN_AFTER_S
