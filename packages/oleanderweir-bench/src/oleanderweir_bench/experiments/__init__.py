"""Simulations in virtual time that run the agent's own load-balancing code."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oleanderweir_bench.experiments.imbalance import ImbalanceExperiment
from oleanderweir_bench.experiments.peak import PeakExperiment
from oleanderweir_bench.experiments.result_table import ResultTable
from oleanderweir_bench.experiments.second_copies import SLOW_SERVER
from oleanderweir_bench.experiments.second_copies import STALLS
from oleanderweir_bench.experiments.second_copies import SecondCopiesExperiment
from oleanderweir_bench.experiments.stragglers import StragglersExperiment


if TYPE_CHECKING:
    from collections.abc import Callable


FEWER_SLOTS_SHARE = 0.67


def run_peak(seed: int) -> list[ResultTable]:
    """Run the load peak with as many slots as the tickets state."""
    return [PeakExperiment(seed=seed).run()]


def run_peak_fewer_slots(seed: int) -> list[ResultTable]:
    """Run the load peak with fewer slots, which the backlog conceals."""
    return [PeakExperiment(seed=seed, true_slots_share=FEWER_SLOTS_SHARE).run()]


def run_peak_shedding(seed: int) -> list[ResultTable]:
    """Run the load peak with fewer slots and no backlog, so requests are shed."""
    return [
        PeakExperiment(seed=seed, true_slots_share=FEWER_SLOTS_SHARE, backlog=0).run()
    ]


def run_stragglers(seed: int) -> list[ResultTable]:
    """Run short requests beside stragglers."""
    return [StragglersExperiment(seed=seed).run()]


def run_second_copies(seed: int) -> list[ResultTable]:
    """Run second copies beside runs that are slow for no reason of their work."""
    return [SecondCopiesExperiment(seed=seed, cause=STALLS).run()]


def run_second_copies_slow_server(seed: int) -> list[ResultTable]:
    """Run second copies beside a slow backend server, below capacity."""
    experiment = SecondCopiesExperiment(seed=seed, cause=SLOW_SERVER, loads=(0.5, 0.8))
    return [experiment.run()]


def run_imbalance(seed: int) -> list[ResultTable]:
    """Run the measurement of imbalance between backend servers."""
    return [ImbalanceExperiment(seed=seed).run()]


EXPERIMENTS: dict[str, Callable[[int], list[ResultTable]]] = {
    "crest": run_peak,
    "crest-fewer-slots": run_peak_fewer_slots,
    "crest-shedding": run_peak_shedding,
    "imbalance": run_imbalance,
    "second-copies": run_second_copies,
    "second-copies-slow-server": run_second_copies_slow_server,
    "stragglers": run_stragglers,
}


__all__ = [
    "EXPERIMENTS",
    "PeakExperiment",
    "ImbalanceExperiment",
    "ResultTable",
    "SecondCopiesExperiment",
    "StragglersExperiment",
]
