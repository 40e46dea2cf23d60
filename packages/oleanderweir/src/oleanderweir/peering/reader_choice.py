"""
The choice of the processes that watch the backend servers at their source.

If every process of a large fleet watched, each change would cost the source one call
per process. Instead, a few readers watch and send the changes to the others.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import trio

from oleanderweir.peering.messages import PeerRole
from oleanderweir.rendezvous import score


if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from oleanderweir.desired_state import ReaderStatus
    from oleanderweir.peering.members import Members


logger = logging.getLogger(__name__)

# Readers at a time. Changes still arrive while two of them are cut off, or have a
# connection to the source that is dead without an error.
READER_COUNT = 3
PURPOSE = "reader"
# How long a process waits for heartbeats of readers before it watches the backend
# servers itself. Balancers draw a delay up to theirs, so that a fleet that starts at
# once doesn't read all at once. Agents wait much longer, since balancers send them
# every change.
READER_DELAY_S = {PeerRole.BALANCER: 1.0, PeerRole.AGENT: 4.0}


class ReaderChoice:
    """Decides whether this process watches the backend servers at the source."""

    def __init__(
        self,
        *,
        role: PeerRole,
        members: Members,
        status: ReaderStatus,
        random_source: random.Random,
    ) -> None:
        self.role = role
        self.members = members
        self.status = status
        # Whether this process read the source at the last update of its status.
        self.is_reading = False
        self.delay_s = READER_DELAY_S[role]
        if role is PeerRole.BALANCER:
            self.delay_s *= random_source.random()

    @property
    def reads_source(self) -> bool:
        """Whether this process watches the backend servers and the source responds."""
        return self.status.is_connected and self.status.should_read

    def update(self, *, age_s: float) -> None:
        """Decide whether to read; ``age_s`` is the time since the process started."""
        should_read = self._should_read(age_s)
        if should_read != self.status.should_read:
            self._log_decision(should_read=should_read)
        self.status.should_read = should_read
        self.is_reading = self.reads_source

    def _should_read(self, age_s: float) -> bool:
        if age_s < self.delay_s:
            return False
        readers = self._find_readers()
        if self.role is PeerRole.AGENT:
            # Only balancers send heartbeats to all processes, so most peers don't
            # notice that an agent reads. It reads only while no peer announces that.
            return not readers
        return is_reader(self.members.own_host, readers)

    def _find_readers(self) -> list[str]:
        """Return the hosts whose newest heartbeat says that they read."""
        return [
            host
            for host, member in self.members.members.items()
            if member.heartbeat.reads_source
        ]

    def _log_decision(self, *, should_read: bool) -> None:
        """Log that reading starts or stops, and when the readers were heard."""
        now = trio.current_time()
        members = self.members.members
        readers = {
            host: round(now - members[host].last_seen_at, 3)
            for host in self._find_readers()
        }
        logger.info(
            "this process starts or stops reading the backend servers at the source",
            extra={
                "code": "reading_changed",
                "should_read": should_read,
                "readers_heard_s_ago": readers,
            },
        )


def is_reader(own_host: str, readers: Iterable[str]) -> bool:
    """
    Whether a process should read, given the hosts that announce that they do.

    A process reads unless ``READER_COUNT`` others with a lower score do. Without known
    readers it therefore reads, and stops once enough hosts with a lower score announce
    that they read.
    """
    own_score = score(own_host, purpose=PURPOSE)
    lower = sum(score(host, purpose=PURPOSE) < own_score for host in readers)
    return lower < READER_COUNT
