"""Each rule of the merge is needed: without it a short run breaks a promise."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from oleanderweir.tickets import BootGate
from tests.oleanderweir.tickets.merge_machine import MergeMachine
from tests.oleanderweir.tickets.mutants import EarlyCollection
from tests.oleanderweir.tickets.mutants import ForgottenFloor
from tests.oleanderweir.tickets.mutants import KeptRemovals
from tests.oleanderweir.tickets.mutants import LastConflictWins
from tests.oleanderweir.tickets.mutants import ServiceBeforeMerge
from tests.oleanderweir.tickets.mutants import WithoutNumberCheck
from tests.oleanderweir.tickets.processes import InvariantViolationError


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.tickets import RegisterBucket


def read_latest(machine: MergeMachine) -> None:
    machine.read_snapshot(index=0, moment=-1)
    machine.no_key_goes_back()


def serve_first_ticket(machine: MergeMachine) -> None:
    """Let process 0 serve a ticket, and keep a message that carries it."""
    machine.publish({"a": 1}, gap=1)
    machine.boot_from_service(index=0, moment=-1)
    machine.boot_from_peers(index=0)
    machine.no_key_goes_back()
    machine.push(index=0)


def read_a_stale_snapshot(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.publish({"a": 2}, gap=1)
    read_latest(machine)
    machine.read_snapshot(index=0, moment=1)


def hear_late_of_a_fresh_removal(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.publish({"a": None}, gap=1)
    machine.declare_floor(back=1)
    read_latest(machine)
    machine.deliver_late_or_again(index=0, moment=0)


def hear_late_of_a_collected_removal(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.retire("a")
    read_latest(machine)
    machine.deliver_late_or_again(index=0, moment=0)


def sleep_through_a_removal(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.retire("a")
    machine.heal(is_service_down=False)


def hear_twice_of_a_conflict(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.publish_conflict({"a": 2})
    machine.read_tickets(index=0, moment=1)
    machine.no_key_goes_back()
    machine.deliver_late_or_again(index=0, moment=0)


def boot_from_a_stale_service(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.boot_from_service(index=1, moment=0)


@pytest.mark.parametrize(
    ("run", "mutant", "message"),
    [
        (read_a_stale_snapshot, WithoutNumberCheck, "went back"),
        (hear_late_of_a_fresh_removal, EarlyCollection, "went back"),
        (hear_late_of_a_collected_removal, ForgottenFloor, "went back"),
        (sleep_through_a_removal, KeptRemovals, "processes differ"),
        (hear_twice_of_a_conflict, LastConflictWins, "went back"),
        (boot_from_a_stale_service, ServiceBeforeMerge, "before it knows"),
    ],
)
def test_run_that_needs_a_rule(
    run: Callable[[MergeMachine], None],
    mutant: type[RegisterBucket | BootGate],
    message: str,
) -> None:
    field = "gate_type" if issubclass(mutant, BootGate) else "bucket_type"
    broken_type = type("BrokenMachine", (MergeMachine,), {field: mutant})

    run_and_check(run, MergeMachine())
    with pytest.raises(InvariantViolationError, match=message):
        run_and_check(run, broken_type())


def run_and_check(run: Callable[[MergeMachine], None], machine: MergeMachine) -> None:
    run(machine)
    machine.no_key_goes_back()
