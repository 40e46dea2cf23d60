"""What all sessions of a process share."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from oleanderweir.replication.peer_message_codec import PeerMessageCodec
from oleanderweir.replication.register_digest import RegisterDigest
from oleanderweir.replication.repair_plan import RepairPlan


if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from oleanderweir.replication.control_budget import ControlBudget
    from oleanderweir.replication.messages import Hello
    from oleanderweir.replication.spreading_settings import SpreadingSettings
    from oleanderweir.tickets import BootGate
    from oleanderweir.tickets import TicketRegister


@attrs.define(kw_only=True, eq=False)
class SpreadingContext:
    """
    The state that the sessions of one process share.

    The register is changed through ``changing`` only, since its digest is kept.
    ``changed_at`` is when the register changed last, ``started_at`` when spreading
    began, in seconds of trio's clock.
    """

    register: TicketRegister
    budget: ControlBudget
    boot_gate: BootGate
    settings: SpreadingSettings
    hello: Hello
    random: random.Random
    codec: PeerMessageCodec = attrs.field(factory=PeerMessageCodec)
    repair_plan: RepairPlan = attrs.field(factory=RepairPlan)
    changed_at: float = float("-inf")
    started_at: float = float("-inf")
    cached_digest: RegisterDigest | None = None

    def digest(self) -> RegisterDigest:
        """Return the digest and floor of the register."""
        if self.cached_digest is None:
            self.cached_digest = RegisterDigest(
                content=self.register.digest(), floor=self.register.floor
            )
        return self.cached_digest

    @contextmanager
    def changing(self) -> Iterator[TicketRegister]:
        """Give the register to change; its digest is computed anew afterwards."""
        try:
            yield self.register
        finally:
            self.cached_digest = None
