"""The HTTP interface for operators and monitoring."""

from __future__ import annotations

from oleanderweir.admin.admin_server import AdminServer
from oleanderweir.admin.process_status import ProcessStatus
from oleanderweir.admin.readiness import Readiness
from oleanderweir.admin.readiness import ReadinessSource
from oleanderweir.admin.readiness_reason import ReadinessReason
from oleanderweir.admin.tcp_socket import bind_tcp_socket


__all__ = [
    "AdminServer",
    "ProcessStatus",
    "Readiness",
    "ReadinessReason",
    "ReadinessSource",
    "bind_tcp_socket",
]
