"""The state that all sessions of a process share."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from oleanderweir.replication.bucket_claims import BucketClaims
from oleanderweir.replication.peer_message_codec import PeerMessageCodec
from oleanderweir.replication.register_digest import RegisterDigest


if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from oleanderweir.replication.control_budget import ControlBudget
    from oleanderweir.replication.messages import Hello
    from oleanderweir.replication.replication_settings import ReplicationSettings
    from oleanderweir.tickets import BootGate
    from oleanderweir.tickets import TicketRegister


@attrs.define(kw_only=True, eq=False)
class ReplicationContext:
    """
    The state that all sessions of a process share.

    The register is changed through ``updating_register`` only, because its digest is
    cached. ``changed_at`` is the time of the last change of the register and
    ``started_at`` the start of the replication, in seconds of trio's clock.
    """

    register: TicketRegister
    budget: ControlBudget
    boot_gate: BootGate
    settings: ReplicationSettings
    hello: Hello
    random: random.Random
    codec: PeerMessageCodec = attrs.field(factory=PeerMessageCodec)
    bucket_claims: BucketClaims = attrs.field(factory=BucketClaims)
    changed_at: float = float("-inf")
    started_at: float = float("-inf")
    cached_digest: RegisterDigest | None = None

    def digest(self) -> RegisterDigest:
        """Return the digest and floor of the register, from the cache if unchanged."""
        if self.cached_digest is None:
            self.cached_digest = RegisterDigest(
                content=self.register.digest(), floor=self.register.floor
            )
        return self.cached_digest

    @contextmanager
    def updating_register(self) -> Iterator[TicketRegister]:
        """Yield the register for an update, and clear the cached digest afterwards."""
        try:
            yield self.register
        finally:
            self.cached_digest = None
