from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import pytest

from oleanderweir_agent.load import LeastWaitChooser
from oleanderweir_agent.load import ServiceGroup
from oleanderweir_bench.experiments.baselines import RandomChooser
from oleanderweir_bench.experiments.baselines import RoundRobinChooser
from oleanderweir_bench.experiments.baselines import TwoChoicesChooser
from tests.oleanderweir_agent.load.load_tables import REPORT
from tests.oleanderweir_agent.load.load_tables import make_table


if TYPE_CHECKING:
    from trio.testing import MockClock

    from oleanderweir_agent.load import BackendChooser


@pytest.mark.parametrize(
    "chooser",
    [
        RandomChooser(random=random.Random(1)),
        RoundRobinChooser(),
        TwoChoicesChooser(random=random.Random(1)),
        LeastWaitChooser(random=random.Random(1)),
    ],
    ids=["random", "round-robin", "two-choices", "least-wait"],
)
async def test_every_chooser_chooses_all_peers_that_are_not_excluded(
    autojump_clock: MockClock, chooser: BackendChooser
) -> None:
    table = make_table(*(attrs.evolve(REPORT, name=name) for name in "abc"))
    group = ServiceGroup(own_name="a", table=table, chooser=chooser)

    assert {group.choose_peer() for _ in range(50)} == {"b", "c"}
    assert {group.choose_peer(exclude={"b"}) for _ in range(5)} == {"c"}
    assert group.choose_peer(exclude={"b", "c"}) is None
    assert {group.choose_backend() for _ in range(50)} == {"a", "b", "c"}
