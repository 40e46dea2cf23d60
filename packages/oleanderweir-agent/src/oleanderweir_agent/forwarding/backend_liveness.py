"""
Failure detector for the backend server beside the agent.

After a crash without notice, the backend server's entry stays published for seconds:
new flows would be placed there, and callers of its old flows would wait until their
timeouts expire. Only unanswered opening packets count as a sign of a crash, since a
running backend server answers each of them at once; a long request or the last
acknowledgements of an answer may get no packet in return for longer. Together with a
refused connection they are taken for a crash; alone they only keep new flows away. A
refused connection proves that the backend server has stopped, if it accepted
connections before and has sent nothing for ``QUIET_S``: a backend server that is
starting may receive packets before it listens.
"""

from __future__ import annotations

from oleanderweir_agent.forwarding.probe_outcome import ProbeOutcome


# Unanswered opening packets after which a backend server can count as down; a single
# one may have been lost in the network.
MIN_UNANSWERED_OPENINGS = 2
# How long the backend server must have sent nothing since the first of them.
DOWN_AFTER_S = 0.5
# An unresponsive backend server gets new flows for ``DOWN_AFTER_S`` in each such
# period: without them it may have nothing to answer, and its recovery would go
# unnoticed.
TRIAL_PERIOD_S = 1.5
# Time without any packet of the backend server after which it is probed: since the
# first unanswered opening packet, and since the first unanswered payload.
SUSPECT_AFTER_S = 0.1
SUSPECT_PAYLOAD_AFTER_S = 0.4
# Unanswered payloads needed for such a probe.
MIN_UNANSWERED_PAYLOADS = 2
# Minimum time between two probes.
PROBE_INTERVAL_S = 0.3
# A refused connection counts only if the backend server has sent nothing for this long.
QUIET_S = 0.3
# Ticks further apart than this show that this process was paused; packets of the
# backend server may be waiting unread in its socket.
PAUSE_S = 0.3


class BackendLiveness:
    """Infers from packets and probes whether the backend server is running."""

    def __init__(self) -> None:
        self.unanswered_openings = 0
        self.unanswered_openings_since = 0.0
        # Time without a packet since then, counted only while this process ran: after a
        # pause of its own, answers may be waiting unread in its socket.
        self.silent_s = 0.0
        self.last_packet_at = float("-inf")
        self.last_tick_at = float("-inf")
        # Packets with payload that were forwarded since the last received packet.
        self.unanswered_payloads = 0
        self.unanswered_payloads_since = 0.0
        self.probed_at = float("-inf")
        # Whether the last conclusive probe was refused, and no packet was received
        # since.
        self.is_refused = False
        # Whether it may have stopped although no packet is unanswered, until the next
        # conclusive probe.
        self.is_doubted = False
        # Whether a probe was accepted since the backend server last stopped.
        self.was_accepted = False
        # Whether a probe proved that the backend server has stopped; no packet was
        # received and no probe accepted since.
        self.has_stopped = False

    @property
    def is_unheard(self) -> bool:
        """Whether no packet of the backend server was received by this process."""
        return self.last_packet_at == float("-inf")

    def on_payload(self, *, now: float) -> None:
        """Record payload that was forwarded to the backend server."""
        if self.unanswered_payloads == 0:
            self.unanswered_payloads_since = now
        self.unanswered_payloads += 1

    def on_doubt(self) -> None:
        """Record that a packet came although the backend server may have stopped."""
        self.is_doubted = True

    def needs_probe(self, *, now: float) -> bool:
        """Whether the backend server should be probed now."""
        if now - self.probed_at < PROBE_INTERVAL_S:
            return False
        if self.is_refused or self.is_doubted or not self.was_accepted:
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
        """Record the outcome of a probe that was started at ``now``."""
        self.probed_at = now
        if outcome is ProbeOutcome.SILENT:
            return
        self.is_doubted = False
        self.is_refused = outcome is ProbeOutcome.REFUSED
        if outcome is ProbeOutcome.ACCEPTED:
            self.was_accepted = True
            self.has_stopped = False
        elif self.was_accepted and now - self.last_packet_at > QUIET_S:
            self.was_accepted = False
            self.has_stopped = True

    def on_opening(self, *, now: float) -> None:
        """Record an opening packet that was forwarded to the backend server."""
        if self.unanswered_openings == 0:
            self.unanswered_openings_since = now
            self.silent_s = 0.0
        self.unanswered_openings += 1

    def on_backend_packet(self, *, now: float) -> None:
        """Record any packet received from the backend server."""
        self.unanswered_openings = 0
        self.unanswered_payloads = 0
        self.is_refused = False
        self.has_stopped = False
        self.last_packet_at = now

    def on_tick(self, *, now: float) -> None:
        """Extend the time without a packet; restart it if this process was paused."""
        if now - self.last_tick_at > PAUSE_S:
            self.unanswered_openings = 0
        self.silent_s += now - max(self.last_tick_at, self.unanswered_openings_since)
        self.last_tick_at = now

    def is_down(self) -> bool:
        """
        Whether the backend server has stopped, or is presumed to have.

        A crash is presumed only after a refused connection: one that listens is running
        and holds its flows, even if its packets don't reach the agent, its probe is
        late, or its queue of new connections is full.
        """
        return self.has_stopped or (self.is_refused and self.is_unresponsive())

    def is_unresponsive(self) -> bool:
        """Whether several opening packets are unanswered for over ``DOWN_AFTER_S``."""
        if self.unanswered_openings < MIN_UNANSWERED_OPENINGS:
            return False
        return self.silent_s > DOWN_AFTER_S

    def allows_new_flows(self) -> bool:
        """Whether new flows may be forwarded to the backend server."""
        if self.has_stopped:
            return False
        if not self.is_unresponsive():
            return True
        return self.silent_s % TRIAL_PERIOD_S < DOWN_AFTER_S
