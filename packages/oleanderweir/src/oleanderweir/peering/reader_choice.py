"""
The choice of the processes that watch the backend servers at their source.

If every process of a large fleet watched, each change would cost the source one call
per process. Instead, a few readers watch, send the changes to the others, and confirm
again and again that there are no others. A process that gets no such confirmation
reads the source itself, whichever other processes are lost.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.peering.freshness import PROOF_S
from oleanderweir.peering.messages import PeerRole
from oleanderweir.rendezvous import score


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from oleanderweir.desired_state import ReaderStatus
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.peering.freshness import Freshness
    from oleanderweir.peering.members import Members


logger = logging.getLogger(__name__)

# Readers at a time. Changes still arrive while two of them are cut off, or have a
# connection to the source that is dead without an error.
READER_COUNT = 3
PURPOSE = "reader"
# How long a balancer waits for confirmations of readers after its start, at most. Each
# draws a delay, so that a fleet that starts at once doesn't read all at once.
READER_DELAY_S = 1.0
# While another reader proves the state, one that is silent counts as a reader for this
# long: some of its confirmations may be lost.
READER_LEASE_S = 5.0
# When readers are lost, the first balancers that follow them in rank replace them at
# once, and the next ones only after this time each; after the longer one while the
# state is proved.
TAKEOVER_STEP_S = 0.3
CALM_TAKEOVER_STEP_S = 1.0
# For this long after its start, an agent relies on its own listings: balancers that
# start with it take longer.
AGENT_START_S = 4.0
# How long a process whose state isn't proved any more waits for new readers.
MIN_CATCH_UP_DELAY_S = 0.2
# Over this time at least, the processes that wait in vain start to read.
MIN_CATCH_UP_SPREAD_S = 0.3
# Processes of one role that start to read in a second.
CATCH_UPS_PER_S = 2000.0
# Time between two checks: the shortest, and that while this process reads since its
# state isn't proved.
MIN_CHECK_S = 0.05
CATCH_UP_CHECK_S = 0.5
MAX_CHECK_S = 2.0


class ReaderChoice:
    """
    Decides whether this process watches the backend servers at the source.

    ``is_distributor`` tells whether it is a reader, which confirms its state to the
    others and sends them the changes. Any process also reads, for itself only, while
    its state is not proved.
    """

    def __init__(
        self,
        *,
        role: PeerRole,
        members: Members,
        register: StateRegister,
        status: ReaderStatus,
        freshness: Freshness,
        random_source: random.Random,
    ) -> None:
        self.role = role
        self.members = members
        self.register = register
        self.status = status
        self.freshness = freshness
        self.is_distributor = False
        # Whether the source answers the calls for other topics. Their retries show when
        # it is back.
        self.does_source_answer: Callable[[], bool] = lambda: True
        # Whether this process was a connected reader at the last update.
        self.is_reading = False
        # Since when too few readers with a lower score confirm their state.
        self.missing_since: float | None = None
        # Whether the state was not proved at the last update.
        self.is_catching_up = False
        self.delay_s = 0.0
        if role is PeerRole.BALANCER:
            self.delay_s = READER_DELAY_S * random_source.random()

    @property
    def reads_source(self) -> bool:
        """Whether this process is a reader, and the source responds."""
        return self.status.is_connected and self.is_distributor

    def update(self, *, age_s: float) -> None:
        """Decide whether to read; ``age_s`` is the time since the process started."""
        self.is_distributor = self._must_distribute(age_s)
        self.is_catching_up = self._must_catch_up(age_s)
        should_read = self.is_distributor or self.is_catching_up
        if should_read != self.status.should_read:
            self._log_decision(should_read=should_read)
        self.status.should_read = should_read
        self.is_reading = self.reads_source

    def next_check_s(self) -> float:
        """Return the time in seconds until the decision may change."""
        if self.is_catching_up or not self.does_source_answer():
            return CATCH_UP_CHECK_S
        now = trio.current_time()
        due_at = self.freshness.proved_at + self.freshness.proof_s
        if self.role is PeerRole.AGENT or due_at <= now:
            due_at += self._catch_up_delay_s()
        if self.missing_since is not None and not self.is_distributor:
            due_at = min(due_at, now + TAKEOVER_STEP_S)
        return min(max(due_at - now, MIN_CHECK_S), MAX_CHECK_S)

    def _must_distribute(self, age_s: float) -> bool:
        """Whether this process is a reader: in rank after less than the full count."""
        if self.role is not PeerRole.BALANCER:
            # Most peers don't know an agent.
            return False
        is_proved = self.freshness.is_proved_within(self.freshness.proof_s)
        lease_s = READER_LEASE_S if is_proved else PROOF_S
        readers = self.freshness.find_readers(within_s=lease_s)
        if not is_reader(self.members.own_host, readers):
            self.missing_since = None
            return False
        now = trio.current_time()
        if self.missing_since is None:
            self.missing_since = now
        if self.is_distributor:
            return True
        step = self._find_rank(lease_s) // READER_COUNT
        step_s = CALM_TAKEOVER_STEP_S if is_proved else TAKEOVER_STEP_S
        waited_s = now - self.missing_since
        return age_s >= self.delay_s and waited_s >= step * step_s

    def _find_rank(self, lease_s: float) -> int:
        """Return how many balancers come before this one, lost readers left out."""
        own_score = score(self.members.own_host, purpose=PURPOSE)
        others = set(self.members.hosts(PeerRole.BALANCER))
        others -= self.freshness.find_lapsed(within_s=lease_s)
        return sum(score(host, purpose=PURPOSE) < own_score for host in others)

    def _must_catch_up(self, age_s: float) -> bool:
        """Whether neither this process nor a reader has proved its state lately."""
        span_s = self.freshness.proof_s + self._catch_up_delay_s()
        start_s = AGENT_START_S if self.role is PeerRole.AGENT else span_s
        if age_s < start_s or self.freshness.is_proved_within(span_s):
            return False
        return self.does_source_answer()

    def _catch_up_delay_s(self) -> float:
        """Return how long to wait for new readers; it differs between processes."""
        first_byte = score(self.members.own_host, purpose=PURPOSE)[0]
        is_agent = self.role is PeerRole.AGENT
        # An agent doesn't know the others, which are beside the backend servers.
        fleet_size = len(self.register.backends if is_agent else self.members.members)
        spread_s = max(MIN_CATCH_UP_SPREAD_S, fleet_size / CATCH_UPS_PER_S)
        return MIN_CATCH_UP_DELAY_S + spread_s * first_byte / 256

    def _log_decision(self, *, should_read: bool) -> None:
        """Log that reading starts or stops, and by which proofs."""
        now = trio.current_time()
        confirmed_at = self.freshness.confirmed_at
        readers = {
            host: round(now - confirmed_at[host], 3)
            for host in self.freshness.find_readers()
        }
        proved_at = self.freshness.proved_at
        logger.info(
            "this process starts or stops reading the backend servers at the source",
            extra={
                "code": "reading_changed",
                "should_read": should_read,
                "is_distributor": self.is_distributor,
                "readers_confirmed_s_ago": readers,
                "proved_s_ago": round(now - proved_at, 3) if proved_at > 0 else None,
            },
        )


def is_reader(own_host: str, readers: Iterable[str]) -> bool:
    """
    Whether a process should read, given the hosts that confirm their state.

    A process reads unless ``READER_COUNT`` others with a lower score do. Without known
    readers it therefore reads, and stops once enough hosts with a lower score confirm
    their state.
    """
    own_score = score(own_host, purpose=PURPOSE)
    lower = sum(score(host, purpose=PURPOSE) < own_score for host in readers)
    return lower < READER_COUNT
