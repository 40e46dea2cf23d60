from __future__ import annotations

import pytest

from oleanderweir.tickets import BootGate
from oleanderweir.tickets import BootOutcome
from oleanderweir.tickets import BootSource


PENDING = BootOutcome.PENDING
MERGED = BootOutcome.MERGED
UNAVAILABLE = BootOutcome.UNAVAILABLE


@pytest.mark.parametrize(
    ("service", "peers", "is_ready"),
    [
        (PENDING, MERGED, False),
        (MERGED, PENDING, False),
        (UNAVAILABLE, UNAVAILABLE, False),
        (UNAVAILABLE, MERGED, True),
        (MERGED, UNAVAILABLE, True),
        (MERGED, MERGED, True),
    ],
)
def test_process_is_ready_after_both_sources_have_an_outcome(
    service: BootOutcome, peers: BootOutcome, is_ready: bool
) -> None:
    gate = BootGate()

    gate.record(BootSource.CONFIGURATION_SERVICE, service)
    gate.record(BootSource.PEERS, peers)

    assert gate.is_ready is is_ready


async def test_ready_process_stays_ready() -> None:
    gate = BootGate()
    gate.record(BootSource.CONFIGURATION_SERVICE, MERGED)
    gate.record(BootSource.PEERS, UNAVAILABLE)

    gate.record(BootSource.CONFIGURATION_SERVICE, UNAVAILABLE)

    await gate.wait_ready()
    assert gate.is_ready
