from __future__ import annotations

import itertools

from tests.oleanderweir_agent.fault_matrix.cell import Cell
from tests.oleanderweir_agent.fault_matrix.cell import Way
from tests.oleanderweir_agent.fault_matrix.fault import Fault
from tests.oleanderweir_agent.fault_matrix.script import Strike
from tests.oleanderweir_agent.fault_matrix.step import RELAY_STEPS
from tests.oleanderweir_agent.fault_matrix.step import Step


METHODS = ("POST", "GET")
BEFORE_RUN = frozenset({Step.CONNECTED, Step.MID_REQUEST, Step.RECEIVED})
AFTER_REQUEST = frozenset({Step.RECEIVED, Step.RUNNING, Step.RAN})
MIXED_ANSWER = frozenset({Step.MID_BODY, Step.BEFORE_END})
SINGLE_MESSAGES = frozenset({Step.OFFER_SENT, Step.RELAYED_HEAD, Step.RELAYED_END})
STEPS_OF_FAULT = {
    Fault.SHED: frozenset({Step.RECEIVED}),
    Fault.SHED_UNPROVEN: AFTER_REQUEST,
    Fault.CROSSED: MIXED_ANSWER,
    Fault.DUPLICATE: SINGLE_MESSAGES,
}
WORST = (
    Strike(step=Step.CONNECTING, fault=Fault.KILL),
    Strike(step=Step.CONNECTED, fault=Fault.RESET),
    Strike(step=Step.RECEIVED, fault=Fault.KILL),
    Strike(step=Step.RECEIVED, fault=Fault.SHED),
    Strike(step=Step.RUNNING, fault=Fault.RESET),
    Strike(step=Step.RUNNING, fault=Fault.CANCEL),
    Strike(step=Step.RUNNING, fault=Fault.DRAIN),
    Strike(step=Step.RAN, fault=Fault.KILL),
    Strike(step=Step.OFFERING, fault=Fault.KILL),
    Strike(step=Step.OFFER_SENT, fault=Fault.RESET),
    Strike(step=Step.TAKEN, fault=Fault.CUT),
    Strike(step=Step.RELAYED_HEAD, fault=Fault.KILL),
)


def is_applicable(strike: Strike) -> bool:
    """Whether the fault can happen at the step."""
    return strike.step in STEPS_OF_FAULT.get(strike.fault, frozenset(Step))


def list_strikes() -> list[Strike]:
    """Return every fault at every step where it can happen."""
    strikes = itertools.starmap(
        lambda step, fault: Strike(step=step, fault=fault),
        itertools.product(Step, Fault),
    )
    return [strike for strike in strikes if is_applicable(strike)]


def list_single_cells() -> list[Cell]:
    """Return every fault at every step, on each way that comes by the step."""
    return [
        Cell(method=method, way=way, strikes=(strike,))
        for strike in list_strikes()
        for way in Way
        for method in METHODS
        if way is Way.PEER or strike.step not in RELAY_STEPS
    ]


def list_pair_cells() -> list[Cell]:
    """Return the worst faults, each followed by each of the worst."""
    return [
        Cell(method=method, way=way, strikes=(first, second))
        for first in WORST
        for second in WORST
        for way in Way
        for method in METHODS
        if way is Way.PEER or first.step not in RELAY_STEPS
    ]
