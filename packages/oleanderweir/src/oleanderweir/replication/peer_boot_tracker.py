"""What the peers contribute to the boot of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.tickets import BootOutcome
from oleanderweir.tickets import BootSource


if TYPE_CHECKING:
    from oleanderweir.membership import Membership
    from oleanderweir.replication.peer_selection import PeerSelection
    from oleanderweir.replication.peer_session import PeerSession
    from oleanderweir.replication.replication_context import ReplicationContext


@attrs.define(kw_only=True, eq=False)
class PeerBootTracker:
    """
    Decides when a process that boots has heard enough from peers.

    One peer that is ready and whose register agrees is enough. Where all are booting,
    the process goes on with what the configuration service gave once it has compared
    with ``cold_start_peers`` of them, or with all that answer. A process whose
    listed peers are all out of reach stays unready: it may be cut off, and what it
    read may be stale.
    """

    context: ReplicationContext
    membership: Membership
    selection: PeerSelection
    unready: set[str] = attrs.field(factory=set)
    unreachable: set[str] = attrs.field(factory=set)
    decided: trio.Event = attrs.field(factory=trio.Event)

    def on_synchronized(self, session: PeerSession) -> None:
        """Record that the own register and a peer's agree."""
        if session.peer is None or self.context.boot_gate.is_ready:
            return
        if session.is_peer_ready:
            self._record_outcome(BootOutcome.MERGED)
            return
        self.unready.add(session.peer.name)
        self.check_peers()

    def check_peers(self) -> None:
        """Look whether no ready peer can be expected."""
        if self.context.boot_gate.is_ready or not self.membership.is_listed:
            return
        peers = self.selection.boot_peers()
        self.unreachable |= {n for n in peers if self.membership.is_suspected(n)}
        if not peers:
            self._record_outcome(BootOutcome.UNAVAILABLE)
            return
        tried = (self.unready | self.unreachable) & peers
        required = min(self.context.settings.cold_start_peers, len(peers))
        if self.unready & peers and len(tried) >= required:
            self._record_outcome(BootOutcome.UNAVAILABLE)

    def excluded_peers(self) -> frozenset[str]:
        """Return the peers that can't help a process that boots."""
        if self.context.boot_gate.is_ready:
            return frozenset()
        return frozenset(self.unready)

    @property
    def has_peer_state(self) -> bool:
        """Whether the register has been filled from a ready peer."""
        outcomes = self.context.boot_gate.outcomes
        return outcomes[BootSource.PEERS] is BootOutcome.MERGED

    def _record_outcome(self, outcome: BootOutcome) -> None:
        """Tell the boot gate, once for each outcome."""
        self.decided.set()
        if self.context.boot_gate.outcomes[BootSource.PEERS] is not outcome:
            self.context.boot_gate.record(BootSource.PEERS, outcome)
