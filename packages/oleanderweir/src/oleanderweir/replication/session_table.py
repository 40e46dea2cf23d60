"""The open sessions of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.replication.metrics import PEER_SESSIONS


if TYPE_CHECKING:
    from collections.abc import Iterable

    from oleanderweir.replication.peer_session import PeerSession
    from oleanderweir.tickets import Entry


@attrs.define(kw_only=True, eq=False)
class SessionTable:
    """
    Holds the sessions that have exchanged hellos, dialled or accepted.

    Two processes may have two sessions, because either may dial; changes are sent on
    only one of them.
    """

    sessions: list[PeerSession] = attrs.field(factory=list)

    def add(self, session: PeerSession) -> None:
        """
        Add a session.

        Sessions with an earlier incarnation of the same peer are closed.
        """
        peer = session.peer
        for other in list(self.sessions):
            if peer is None or other.peer is None or other.peer.name != peer.name:
                continue
            if other.peer.incarnation != peer.incarnation:
                other.close("the peer was restarted")
        self.sessions.append(session)
        PEER_SESSIONS.set(len(self.sessions))

    def discard(self, session: PeerSession) -> None:
        """Remove a session if it is in the table."""
        if session in self.sessions:
            self.sessions.remove(session)
        PEER_SESSIONS.set(len(self.sessions))

    def push(self, entries: Iterable[Entry]) -> None:
        """Send entries to every peer except the one from which they are merged."""
        batch = tuple(entries)
        reached = {
            session.peer.name
            for session in self.sessions
            if session.is_merging and session.peer is not None
        }
        for session in self.sessions:
            if session.peer is None or session.peer.name in reached:
                continue
            reached.add(session.peer.name)
            session.sender.push(batch)

    def compare_registers(self) -> None:
        """Compare registers on every session that this process dialled."""
        for session in self.sessions:
            session.compare_registers()
