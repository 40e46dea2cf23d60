"""Admission, queueing and rejection of the requests to one backend server."""

from __future__ import annotations

from oleanderweir_agent.queueing.admission import Admission
from oleanderweir_agent.queueing.busy_meter import BusyMeter
from oleanderweir_agent.queueing.feed_admission import FeedAdmission
from oleanderweir_agent.queueing.fifo_policy import FifoPolicy
from oleanderweir_agent.queueing.permit import Permit
from oleanderweir_agent.queueing.queue_forecast import QueueForecast
from oleanderweir_agent.queueing.queue_policy import QueuePolicy
from oleanderweir_agent.queueing.route import Route
from oleanderweir_agent.queueing.service_time_histogram import ServiceTimeHistogram
from oleanderweir_agent.queueing.service_time_model import ServiceTimeModel
from oleanderweir_agent.queueing.shortest_expected_policy import ShortestExpectedPolicy
from oleanderweir_agent.queueing.slot_queue import SlotQueue
from oleanderweir_agent.queueing.waiting_request import WaitingRequest
from oleanderweir_agent.queueing.work_request import WorkRequest


__all__ = [
    "Admission",
    "BusyMeter",
    "FeedAdmission",
    "FifoPolicy",
    "Permit",
    "QueuePolicy",
    "Route",
    "ServiceTimeHistogram",
    "ServiceTimeModel",
    "ShortestExpectedPolicy",
    "SlotQueue",
    "WaitingRequest",
    "WorkRequest",
    "QueueForecast",
]
