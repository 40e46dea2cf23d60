from __future__ import annotations

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.oleanderweir.tickets.merge_machine import MergeMachine


SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)


def test_no_fault_makes_a_key_regress() -> None:
    run_state_machine_as_test(MergeMachine, settings=SETTINGS)
