"""What the processes know of services and backend servers."""

from __future__ import annotations

from oleanderweir.configuration.backend_server import BackendServer
from oleanderweir.configuration.configuration_view import ConfigurationView
from oleanderweir.configuration.service import Service


__all__ = ["BackendServer", "ConfigurationView", "Service"]
