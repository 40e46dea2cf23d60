"""Stand-ins for the services of the platform."""

from __future__ import annotations

from oleanderweir_bench.platform.configuration_service_stand_in import (
    ConfigurationServiceStandIn,
)
from oleanderweir_bench.platform.exceptions import PublishingError
from oleanderweir_bench.platform.published_state import PublishedState
from oleanderweir_bench.platform.read_meter import ReadMeter
from oleanderweir_bench.platform.server import serve_application
from oleanderweir_bench.platform.stand_in_conditions import StandInConditions
from oleanderweir_bench.platform.ticket_folder import TicketFolder


__all__ = [
    "ConfigurationServiceStandIn",
    "PublishedState",
    "PublishingError",
    "ReadMeter",
    "StandInConditions",
    "TicketFolder",
    "serve_application",
]
