"""What all sessions of a process share."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.spreading.peer_message_codec import PeerMessageCodec
from oleanderweir.spreading.repair_plan import RepairPlan


if TYPE_CHECKING:
    import random

    from oleanderweir.spreading.control_budget import ControlBudget
    from oleanderweir.spreading.messages import Hello
    from oleanderweir.spreading.spreading_settings import SpreadingSettings
    from oleanderweir.tickets import BootGate
    from oleanderweir.tickets import TicketRegister


@attrs.define(kw_only=True, eq=False)
class SpreadingContext:
    """
    The state that the sessions of one process share.

    ``changed_at`` is when the register changed last, in seconds of trio's clock.
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
