"""Runs the sessions of a process with its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.replication.exceptions import PeerClosedError
from oleanderweir.replication.metrics import SESSIONS_ENDED
from oleanderweir.replication.metrics import SESSIONS_OPENED
from oleanderweir.replication.metrics import SESSIONS_REFUSED
from oleanderweir.replication.peer_dialler import PeerDialler
from oleanderweir.replication.peer_session import PeerSession


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.membership import InstanceRecord
    from oleanderweir.membership import Membership
    from oleanderweir.replication.peer_boot_tracker import PeerBootTracker
    from oleanderweir.replication.peer_stream import PeerStream
    from oleanderweir.replication.peer_transport import PeerTransport
    from oleanderweir.replication.replication_context import ReplicationContext
    from oleanderweir.replication.session_table import SessionTable


@attrs.frozen(kw_only=True, eq=False)
class SessionManager:
    """
    Accepts sessions that peers dial, and creates the diallers of the others.

    A session is in the table from the exchange of hellos until it closes.
    """

    context: ReplicationContext
    membership: Membership
    transport: PeerTransport
    peer_boot: PeerBootTracker
    sessions: SessionTable
    on_peer_lost: Callable[[], None]

    async def accept(self, stream: PeerStream) -> None:
        """Run a session that a peer dialled, up to ``max_sessions`` at a time."""
        if len(self.sessions.sessions) >= self.context.settings.max_sessions:
            SESSIONS_REFUSED.labels(reason="too_many_sessions").inc()
            return
        session = PeerSession(
            context=self.context,
            stream=stream,
            is_dialler=False,
            on_hello=self._on_hello,
            on_synchronized=self._on_synchronized,
        )
        try:
            await session.run()
        except OleanderweirError as error:
            SESSIONS_ENDED.labels(reason=error.code).inc()
            self._on_lost(session)
        except trio.Cancelled:
            # The transport cancels the session when its connection is lost.
            SESSIONS_ENDED.labels(reason=PeerClosedError.code).inc()
            self._on_lost(session)
            raise
        finally:
            self.sessions.discard(session)

    def make_dialler(self, record: InstanceRecord) -> PeerDialler:
        """Return the dialler of one peer."""
        return PeerDialler(
            record=record,
            context=self.context,
            membership=self.membership,
            transport=self.transport,
            on_hello=self._on_hello,
            on_synchronized=self._on_synchronized,
            on_close=self.sessions.discard,
            on_lost=self._on_lost,
        )

    def _on_hello(self, session: PeerSession) -> None:
        """Add the peer to the membership and the session to the table."""
        side = "dialler" if session.is_dialler else "acceptor"
        SESSIONS_OPENED.labels(side=side).inc()
        if session.instance is not None:
            self.membership.record_observed(session.instance)
        self.sessions.add(session)

    def _on_lost(self, session: PeerSession) -> None:
        """Report that a session has ended whose peer was known."""
        if session.peer is not None:
            self.on_peer_lost()

    def _on_synchronized(self, session: PeerSession) -> None:
        """Renew the lease of the peer and record that the registers are equal."""
        if session.instance is not None:
            self.membership.record_observed(session.instance)
        self.peer_boot.on_synchronized(session)
