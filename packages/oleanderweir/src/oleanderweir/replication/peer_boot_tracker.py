"""The contribution of peers to the boot of a process."""

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
    Decides when a booting process has compared its register with enough peers.

    One ready peer with an equal register is enough. When all reachable peers are
    booting, the process continues with the state of the configuration service once
    ``cold_start_peers`` of its peers, or all if there are fewer, either have an equal
    register or are unreachable. A process that reaches none of its listed peers stays
    unready: it may be partitioned, and the state that it read may be stale.
    """

    context: ReplicationContext
    membership: Membership
    selection: PeerSelection
    unready: set[str] = attrs.field(factory=set)
    unreachable: set[str] = attrs.field(factory=set)
    decided: trio.Event = attrs.field(factory=trio.Event)

    def on_synchronized(self, session: PeerSession) -> None:
        """Record that the registers of this process and a peer are equal."""
        if session.peer is None or self.context.boot_gate.is_ready:
            return
        if session.is_peer_ready:
            self._record_outcome(BootOutcome.MERGED)
            return
        self.unready.add(session.peer.name)
        self.check_peers()

    def check_peers(self) -> None:
        """Record the peers as unavailable when no ready peer can be expected."""
        if self.context.boot_gate.is_ready or not self.membership.has_list:
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
        """Return the known unready peers while this process boots, else none."""
        if self.context.boot_gate.is_ready:
            return frozenset()
        return frozenset(self.unready)

    @property
    def has_peer_state(self) -> bool:
        """Whether the register was fetched from a ready peer."""
        outcomes = self.context.boot_gate.outcomes
        return outcomes[BootSource.PEERS] is BootOutcome.MERGED

    def _record_outcome(self, outcome: BootOutcome) -> None:
        """Set ``decided``, and record a changed outcome at the boot gate."""
        self.decided.set()
        if self.context.boot_gate.outcomes[BootSource.PEERS] is not outcome:
            self.context.boot_gate.record(BootSource.PEERS, outcome)
