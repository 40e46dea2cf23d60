from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from oleanderweir_agent.queueing import FeedAdmission
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from trio.testing import MockClock


async def test_feeds_hold_connections_and_no_slots(autojump_clock: MockClock) -> None:
    feeds = FeedAdmission(connections=1)
    with (
        feeds.admit(),
        pytest.raises(RequestRejectedError, match="connections_full"),
    ):
        feeds.admit().__enter__()
    feeds.drain.begin(drain_period_s=1.0)
    with pytest.raises(RequestRejectedError, match="draining"):
        feeds.admit().__enter__()
