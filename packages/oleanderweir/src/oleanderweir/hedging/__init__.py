"""When a second copy of slow work is sent, and how many of them."""

from __future__ import annotations

from oleanderweir.hedging.hedge_budget import MAX_CREDIT
from oleanderweir.hedging.hedge_budget import HedgeBudget
from oleanderweir.hedging.hedge_delay import HedgeDelay


__all__ = ["MAX_CREDIT", "HedgeBudget", "HedgeDelay"]
