"""
Whether the backend server beside the agent is gone.

Answers the load after a crash that nobody announces: its entry stays published for
seconds, new flows would go there, and callers of its old flows would wait until their
time is over. A live backend server reacts to each opening packet at once, so only
those count: a long request, or the last acknowledgements of an answer, stay without a
reaction for longer.
"""

from __future__ import annotations


# Opening packets without any reaction before a backend server counts as gone; one may
# have been dropped on the way.
MIN_UNANSWERED = 2
# How long nothing came since the first of them.
GONE_AFTER_S = 0.5
# A backend server that is gone is tried with new flows for ``GONE_AFTER_S`` in each
# such period, since nothing else may bring a packet of it.
TRIAL_PERIOD_S = 1.5
# A process that didn't run for this long may have unread packets waiting.
PAUSE_S = 0.3


class BackendLiveness:
    """Opening packets that the backend server left without any reaction."""

    def __init__(self) -> None:
        self.unanswered = 0
        self.unanswered_since = 0.0
        self.heard_at = float("-inf")
        self.ticked_at = float("-inf")

    def note_opening(self, *, now: float) -> None:
        """Note an opening packet that went to the backend server."""
        if self.unanswered == 0:
            self.unanswered_since = now
        self.unanswered += 1

    def note_heard(self, *, now: float) -> None:
        """Note any packet that came from the backend server."""
        self.unanswered = 0
        self.heard_at = now

    def note_tick(self, *, now: float) -> None:
        """Start anew after a pause of this process."""
        if now - self.ticked_at > PAUSE_S:
            self.unanswered = 0
        self.ticked_at = now

    def is_gone(self, *, now: float) -> bool:
        """Whether the backend server reacts to nothing."""
        if self.unanswered < MIN_UNANSWERED:
            return False
        return now - self.unanswered_since > GONE_AFTER_S

    def is_worth_trying(self, *, now: float) -> bool:
        """Whether a new flow may go to the backend server."""
        if not self.is_gone(now=now):
            return True
        return (now - self.unanswered_since) % TRIAL_PERIOD_S < GONE_AFTER_S
