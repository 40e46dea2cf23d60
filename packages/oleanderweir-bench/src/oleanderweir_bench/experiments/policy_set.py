"""The policies that one row of an experiment uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir_agent.limits import FixedLimit
from oleanderweir_agent.load import LeastWaitChooser
from oleanderweir_agent.queueing import FifoPolicy


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from oleanderweir_agent.limits import ConcurrencyLimit
    from oleanderweir_agent.load import BackendChooser
    from oleanderweir_agent.queueing import QueuePolicy


def make_fixed_limit(slots: int) -> ConcurrencyLimit:
    """Return a limit fixed at the number of slots."""
    return FixedLimit(limit=slots)


def make_least_wait_chooser(source: random.Random) -> BackendChooser:
    """Return a chooser of the backend server with the least expected wait."""
    return LeastWaitChooser(random=source)


@attrs.frozen(kw_only=True)
class PolicySet:
    """
    The policies that one row of an experiment uses.

    If ``is_limited`` is false, admission does not use the slots as a ceiling. If
    ``relays`` is false, every request stays with the agent of its session. Second
    copies are limited to ``max_copy_share`` of the requests.
    """

    name: str
    make_limit: Callable[[int], ConcurrencyLimit] = make_fixed_limit
    make_chooser: Callable[[random.Random], BackendChooser] = make_least_wait_chooser
    queue_policy: QueuePolicy = attrs.field(factory=FifoPolicy)
    relays: bool = True
    is_limited: bool = True
    max_copy_share: float = 0.0
