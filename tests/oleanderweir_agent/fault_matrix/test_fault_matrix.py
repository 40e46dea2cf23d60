from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from oleanderweir_agent.retries.retry_policy import MAX_ATTEMPTS
from tests.oleanderweir_agent.fault_matrix.cell_run import run_cell
from tests.oleanderweir_agent.fault_matrix.cells import list_copy_cells
from tests.oleanderweir_agent.fault_matrix.cells import list_pair_cells
from tests.oleanderweir_agent.fault_matrix.cells import list_single_cells


if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.oleanderweir_agent.fault_matrix.cell import Cell


@pytest.mark.parametrize("cell", list_single_cells(), ids=lambda cell: cell.name)
async def test_single_fault_violates_no_guarantee(
    cell: Cell, autojump_clock: MockClock
) -> None:
    run = await run_cell(cell)

    assert run.find_violations() == []
    assert run.cluster.script.is_exhausted


@pytest.mark.parametrize("cell", list_pair_cells(), ids=lambda cell: cell.name)
async def test_fault_pair_violates_no_guarantee(
    cell: Cell, autojump_clock: MockClock
) -> None:
    run = await run_cell(cell)

    assert run.find_violations() == []


@pytest.mark.parametrize("cell", list_copy_cells(), ids=lambda cell: cell.name)
async def test_a_fault_beside_a_copy_violates_no_guarantee(
    cell: Cell, autojump_clock: MockClock
) -> None:
    run = await run_cell(cell)

    assert run.find_violations() == []
    assert run.run_count <= MAX_ATTEMPTS


async def test_the_cells_with_copies_send_copies(autojump_clock: MockClock) -> None:
    copied = 0
    for cell in list_copy_cells():
        run = await run_cell(cell)
        accepted = run.cluster.copy_policy.metrics.accepted
        assert cell.method == "GET" or not accepted
        copied += accepted

    # Faults before the delay leave some requests without a copy.
    assert copied >= len(list_copy_cells()) // 3
