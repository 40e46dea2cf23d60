from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from oleanderweir_bench.console import application
from oleanderweir_bench.experiments import EXPERIMENTS
from oleanderweir_bench.experiments import ImbalanceExperiment
from oleanderweir_bench.experiments import PeakExperiment
from oleanderweir_bench.experiments import ResultTable
from oleanderweir_bench.experiments import SecondCopiesExperiment
from oleanderweir_bench.experiments import imbalance
from oleanderweir_bench.experiments import peak
from oleanderweir_bench.experiments import second_copies
from oleanderweir_bench.experiments.quantile import quantile
from oleanderweir_bench.experiments.service_size import ServiceSize


if TYPE_CHECKING:
    from oleanderweir_bench.experiments.second_copies import Slowness


CAUSES = (second_copies.STALLS, second_copies.SLOW_SERVER)


def test_peak_experiment_is_reproducible_for_a_seed() -> None:
    tables = []
    for _ in range(2):
        table = ResultTable(title="t", headings=peak.HEADINGS)
        experiment = PeakExperiment(seed=3, base_load_s=1.0, peak_s=0.5)
        size = ServiceSize(server_count=2, slots=2)
        experiment.add_row(table, size, peak.AGENT_POLICIES)
        tables.append(table.render())

    assert tables[0] == tables[1]


def test_least_wait_uses_backend_servers_more_evenly_than_random() -> None:
    table = ResultTable(title="t", headings=imbalance.HEADINGS)
    experiment = ImbalanceExperiment(seed=3, warm_up_s=5.0, measured_s=10.0)
    size = ServiceSize(server_count=3, slots=3)
    experiment.add_row(table, size, imbalance.POLICIES[0])
    experiment.add_row(table, size, imbalance.AGENT_POLICIES)

    random_share, least_wait_share = (float(row[2]) for row in table.rows)

    assert least_wait_share <= 1.15 < random_share


@pytest.mark.parametrize(
    ("values", "share", "expected"),
    [([3.0, 1.0, 2.0], 0.5, 2.0), ([1.0], 0.99, 1.0), ([1.0, 2.0], 1.0, 2.0)],
    ids=["median", "single", "highest"],
)
def test_quantiles(values: list[float], share: float, expected: float) -> None:
    assert quantile(values, share) == expected


def test_quantile_of_no_values_is_nan() -> None:
    assert math.isnan(quantile([], 0.5))


def test_unknown_experiment_is_reported_with_the_known_names() -> None:
    result = CliRunner().invoke(application, ["experiment", "rain"])

    assert result.exit_code == 2
    for name in EXPERIMENTS:
        assert f"'{name}'" in result.output


@pytest.mark.parametrize("cause", CAUSES, ids=["stalls", "slow-server"])
def test_copies_shorten_the_slowest_answers_within_their_limit(
    cause: Slowness,
) -> None:
    experiment = SecondCopiesExperiment(
        seed=1, cause=cause, warm_up_s=5.0, measured_s=10.0
    )
    services = [experiment.simulate(0.5, share) for share in (0.0, 0.2)]

    # The columns are the quantiles 0.5, 0.99 and 0.999, then the share of copies.
    before, after = [experiment.make_cells(s, extra_work=0.0) for s in services]
    assert float(after[2]) < float(before[2])
    assert 0.0 < float(after[3].rstrip("%")) <= 20.0


def test_copies_die_out_when_all_backend_servers_are_loaded() -> None:
    experiment = SecondCopiesExperiment(
        seed=1, cause=second_copies.STALLS, warm_up_s=2.0, measured_s=2.0
    )
    service = experiment.simulate(1.1, 0.1)

    cells = experiment.make_cells(service, extra_work=0.0)

    assert float(cells[3].rstrip("%")) < 0.5
