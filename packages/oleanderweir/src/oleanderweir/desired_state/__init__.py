"""Reading and following the state that operators and backend servers publish."""

from __future__ import annotations

from oleanderweir.desired_state.backend_record import BackendRecord
from oleanderweir.desired_state.backend_state import BackendState
from oleanderweir.desired_state.cold_start_limit import ColdStartLimit
from oleanderweir.desired_state.desired_state import DesiredState
from oleanderweir.desired_state.exceptions import HistoryLostError
from oleanderweir.desired_state.exceptions import InvalidDocumentError
from oleanderweir.desired_state.exceptions import SourceBusyError
from oleanderweir.desired_state.exceptions import SourceUnavailableError
from oleanderweir.desired_state.positions import REVISION_MASK
from oleanderweir.desired_state.positions import history_of
from oleanderweir.desired_state.positions import make_position
from oleanderweir.desired_state.positions import revision_of
from oleanderweir.desired_state.reader_status import ReaderStatus
from oleanderweir.desired_state.route import Route
from oleanderweir.desired_state.route import ServiceShare
from oleanderweir.desired_state.state_decoder import StateDecoder
from oleanderweir.desired_state.state_follower import StateFollower
from oleanderweir.desired_state.state_register import REMOVAL_GRACE_S
from oleanderweir.desired_state.state_register import StateRegister
from oleanderweir.desired_state.state_source import StateSource
from oleanderweir.desired_state.topic import Change
from oleanderweir.desired_state.topic import Changes
from oleanderweir.desired_state.topic import Listing
from oleanderweir.desired_state.topic import Topic
from oleanderweir.desired_state.withdrawals import MAX_HISTORIES
from oleanderweir.desired_state.withdrawals import MAX_WITHDRAWN_ORDERS
from oleanderweir.desired_state.withdrawn_orders import WithdrawnOrder
from oleanderweir.desired_state.withdrawn_orders import WithdrawnOrders


__all__ = [
    "MAX_HISTORIES",
    "MAX_WITHDRAWN_ORDERS",
    "REVISION_MASK",
    "REMOVAL_GRACE_S",
    "BackendRecord",
    "BackendState",
    "Change",
    "Changes",
    "ColdStartLimit",
    "DesiredState",
    "HistoryLostError",
    "InvalidDocumentError",
    "Listing",
    "ReaderStatus",
    "Route",
    "ServiceShare",
    "SourceBusyError",
    "SourceUnavailableError",
    "StateDecoder",
    "StateFollower",
    "StateRegister",
    "StateSource",
    "Topic",
    "WithdrawnOrder",
    "WithdrawnOrders",
    "history_of",
    "make_position",
    "revision_of",
]
