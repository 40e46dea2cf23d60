"""Each rule of the merge is needed: without it, a scenario violates a guarantee."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from oleanderweir.tickets import BootGate
from tests.oleanderweir.tickets.merge_machine import MergeMachine
from tests.oleanderweir.tickets.mutants import EarlyCollection
from tests.oleanderweir.tickets.mutants import IgnoredFloor
from tests.oleanderweir.tickets.mutants import IgnoredRemovals
from tests.oleanderweir.tickets.mutants import IgnoredTicketNumber
from tests.oleanderweir.tickets.mutants import LastWriteWins
from tests.oleanderweir.tickets.mutants import ReadyBeforeMerge
from tests.oleanderweir.tickets.processes import InvariantViolationError


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.tickets import RegisterBucket


def read_latest(machine: MergeMachine) -> None:
    machine.read_snapshot(index=0, position=-1)
    machine.no_key_regresses()


def serve_first_ticket(machine: MergeMachine) -> None:
    """Let process 0 serve a ticket, and queue a message that contains its entry."""
    machine.publish({"a": 1}, gap=1)
    machine.boot_from_service(index=0, position=-1)
    machine.boot_from_peers(index=0)
    machine.no_key_regresses()
    machine.push(index=0)


def read_a_stale_snapshot(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.publish({"a": 2}, gap=1)
    read_latest(machine)
    machine.read_snapshot(index=0, position=1)


def receive_stale_entry_after_recent_removal(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.publish({"a": None}, gap=1)
    machine.declare_floor(lag=1)
    read_latest(machine)
    machine.deliver_delayed_or_duplicate(index=0, position=0)


def receive_stale_entry_after_collected_removal(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.remove_and_collect("a")
    read_latest(machine)
    machine.deliver_delayed_or_duplicate(index=0, position=0)


def miss_a_removal(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.remove_and_collect("a")
    machine.heal(is_service_down=False)


def receive_conflicting_entry_again(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.publish_conflict({"a": 2})
    machine.read_tickets(index=0, position=1)
    machine.no_key_regresses()
    machine.deliver_delayed_or_duplicate(index=0, position=0)


def boot_from_a_stale_service(machine: MergeMachine) -> None:
    serve_first_ticket(machine)
    machine.boot_from_service(index=1, position=0)


@pytest.mark.parametrize(
    ("scenario", "mutant", "message"),
    [
        (read_a_stale_snapshot, IgnoredTicketNumber, "regressed"),
        (receive_stale_entry_after_recent_removal, EarlyCollection, "regressed"),
        (receive_stale_entry_after_collected_removal, IgnoredFloor, "regressed"),
        (miss_a_removal, IgnoredRemovals, "processes differ"),
        (receive_conflicting_entry_again, LastWriteWins, "regressed"),
        (boot_from_a_stale_service, ReadyBeforeMerge, "without ticket"),
    ],
)
def test_each_merge_rule_is_needed(
    scenario: Callable[[MergeMachine], None],
    mutant: type[RegisterBucket | BootGate],
    message: str,
) -> None:
    field = "gate_type" if issubclass(mutant, BootGate) else "bucket_type"
    broken_type = type("BrokenMachine", (MergeMachine,), {field: mutant})

    run_and_check(scenario, MergeMachine())
    with pytest.raises(InvariantViolationError, match=message):
        run_and_check(scenario, broken_type())


def run_and_check(
    scenario: Callable[[MergeMachine], None], machine: MergeMachine
) -> None:
    scenario(machine)
    machine.no_key_regresses()
