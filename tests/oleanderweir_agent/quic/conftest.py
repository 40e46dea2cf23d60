from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.oleanderweir_agent.quic.agent_bench import AgentBench


if TYPE_CHECKING:
    import trio


@pytest.fixture
def agent(nursery: trio.Nursery) -> AgentBench:
    bench = AgentBench()
    nursery.start_soon(bench.endpoint.run)
    return bench
