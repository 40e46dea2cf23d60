from __future__ import annotations

import itertools

from tests.oleanderweir_agent.fault_matrix.cell import Cell
from tests.oleanderweir_agent.fault_matrix.cell import RunLocation
from tests.oleanderweir_agent.fault_matrix.fault import Fault
from tests.oleanderweir_agent.fault_matrix.script import ScheduledFault
from tests.oleanderweir_agent.fault_matrix.step import RELAY_STEPS
from tests.oleanderweir_agent.fault_matrix.step import Step


METHODS = ("POST", "GET")
AFTER_REQUEST = frozenset({Step.RECEIVED, Step.RUNNING, Step.RAN})
DURING_BODY = frozenset({Step.MID_BODY, Step.BEFORE_END})
SINGLE_MESSAGES = frozenset({Step.OFFER_SENT, Step.RELAYED_HEAD, Step.RELAYED_END})
STEPS_OF_FAULT = {
    Fault.SHED: frozenset({Step.RECEIVED}),
    Fault.SHED_UNPROVEN: AFTER_REQUEST,
    Fault.FOREIGN_DATA: DURING_BODY,
    Fault.DUPLICATE: SINGLE_MESSAGES,
}
SEVERE_FAULTS = (
    ScheduledFault(step=Step.CONNECTING, fault=Fault.KILL),
    ScheduledFault(step=Step.CONNECTED, fault=Fault.RESET),
    ScheduledFault(step=Step.RECEIVED, fault=Fault.KILL),
    ScheduledFault(step=Step.RECEIVED, fault=Fault.SHED),
    ScheduledFault(step=Step.RUNNING, fault=Fault.RESET),
    ScheduledFault(step=Step.RUNNING, fault=Fault.CANCEL),
    ScheduledFault(step=Step.RUNNING, fault=Fault.DRAIN),
    ScheduledFault(step=Step.RAN, fault=Fault.KILL),
    ScheduledFault(step=Step.OFFERING, fault=Fault.KILL),
    ScheduledFault(step=Step.OFFER_SENT, fault=Fault.RESET),
    ScheduledFault(step=Step.ACCEPTED, fault=Fault.CUT),
    ScheduledFault(step=Step.RELAYED_HEAD, fault=Fault.KILL),
)


def is_applicable(scheduled: ScheduledFault) -> bool:
    """Whether the fault can occur at its step."""
    return scheduled.step in STEPS_OF_FAULT.get(scheduled.fault, frozenset(Step))


def list_scheduled_faults() -> list[ScheduledFault]:
    """Return every fault at every step where it can occur."""
    scheduled_faults = itertools.starmap(
        lambda step, fault: ScheduledFault(step=step, fault=fault),
        itertools.product(Step, Fault),
    )
    return [scheduled for scheduled in scheduled_faults if is_applicable(scheduled)]


def list_single_cells() -> list[Cell]:
    """Return a cell for each fault, method, and location at which its step occurs."""
    return [
        Cell(method=method, location=location, scheduled_faults=(scheduled,))
        for scheduled in list_scheduled_faults()
        for location in RunLocation
        for method in METHODS
        if location is RunLocation.PEER or scheduled.step not in RELAY_STEPS
    ]


def list_pair_cells() -> list[Cell]:
    """Return a cell for each method, location, and ordered pair of severe faults."""
    return [
        Cell(method=method, location=location, scheduled_faults=(first, second))
        for first in SEVERE_FAULTS
        for second in SEVERE_FAULTS
        for location in RunLocation
        for method in METHODS
        if location is RunLocation.PEER or first.step not in RELAY_STEPS
    ]


def list_copy_cells() -> list[Cell]:
    """Return a cell for each method and fault, for a request that is copied if slow."""
    return [
        Cell(
            method=method,
            location=RunLocation.LOCAL,
            scheduled_faults=(scheduled,),
            has_copies=True,
        )
        for scheduled in list_scheduled_faults()
        for method in METHODS
    ]
