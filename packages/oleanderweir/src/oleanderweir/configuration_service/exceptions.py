"""Errors of the clients of the platform's services."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidServiceUrlError(OleanderweirError):
    """The URL of the configuration service or the instance list is not valid."""

    code: ClassVar[str] = "invalid_service_url"


class ServiceReadError(OleanderweirError):
    """A read failed; ``reason`` is the label of the metric that counts it."""

    code: ClassVar[str] = "configuration_read_failed"
    reason: ClassVar[str] = "failed"


class ServiceUnavailableError(ServiceReadError):
    """The service could not be reached or could not serve a read."""

    code: ClassVar[str] = "configuration_service_unavailable"
    reason: ClassVar[str] = "unavailable"


class ServiceTimeoutError(ServiceUnavailableError):
    """The service did not respond within the timeout."""

    code: ClassVar[str] = "configuration_service_timeout"
    reason: ClassVar[str] = "timeout"


class ServiceThrottledError(ServiceUnavailableError):
    """The service rejected a read because of its rate limit."""

    code: ClassVar[str] = "configuration_service_throttled"
    reason: ClassVar[str] = "throttled"


class InvalidServiceResponseError(ServiceReadError):
    """A response of the service violates the protocol."""

    code: ClassVar[str] = "configuration_service_invalid_response"
    reason: ClassVar[str] = "invalid_response"
