"""Services and backend servers, as configured by the tickets in force."""

from __future__ import annotations

from oleanderweir.configuration.backend_server import BackendServer
from oleanderweir.configuration.configuration_view import ConfigurationView
from oleanderweir.configuration.service import Service


__all__ = ["BackendServer", "ConfigurationView", "Service"]
