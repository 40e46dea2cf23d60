"""Clients of the platform's configuration service and instance list."""

from __future__ import annotations

from oleanderweir.configuration_service.configuration_service_reader import (
    ConfigurationServiceReader,
)
from oleanderweir.configuration_service.exceptions import InvalidServiceResponseError
from oleanderweir.configuration_service.exceptions import InvalidServiceUrlError
from oleanderweir.configuration_service.exceptions import ServiceReadError
from oleanderweir.configuration_service.exceptions import ServiceThrottledError
from oleanderweir.configuration_service.exceptions import ServiceTimeoutError
from oleanderweir.configuration_service.exceptions import ServiceUnavailableError
from oleanderweir.configuration_service.instance_list_reader import InstanceListReader
from oleanderweir.configuration_service.retry_backoff import RetryBackoff
from oleanderweir.configuration_service.service_client import ServiceClient


__all__ = [
    "ConfigurationServiceReader",
    "InstanceListReader",
    "InvalidServiceResponseError",
    "InvalidServiceUrlError",
    "RetryBackoff",
    "ServiceClient",
    "ServiceReadError",
    "ServiceThrottledError",
    "ServiceTimeoutError",
    "ServiceUnavailableError",
]
