"""Load reports within a service group, and load balancing based on them."""

from __future__ import annotations

from oleanderweir_agent.load.backend_chooser import BackendChooser
from oleanderweir_agent.load.least_wait_chooser import LeastWaitChooser
from oleanderweir_agent.load.load_entry import LoadEntry
from oleanderweir_agent.load.load_report import LoadReport
from oleanderweir_agent.load.load_reporter import REPORT_INTERVAL_S
from oleanderweir_agent.load.load_reporter import LoadReporter
from oleanderweir_agent.load.load_table import REPORT_LIFETIME_S
from oleanderweir_agent.load.load_table import LoadTable
from oleanderweir_agent.load.peer_offer import PeerOffer
from oleanderweir_agent.load.relay_policy import RelayPolicy
from oleanderweir_agent.load.report_result import ReportResult
from oleanderweir_agent.load.service_group import ServiceGroup


__all__ = [
    "REPORT_INTERVAL_S",
    "REPORT_LIFETIME_S",
    "BackendChooser",
    "LeastWaitChooser",
    "LoadEntry",
    "LoadReport",
    "LoadReporter",
    "LoadTable",
    "PeerOffer",
    "RelayPolicy",
    "ReportResult",
    "ServiceGroup",
]
