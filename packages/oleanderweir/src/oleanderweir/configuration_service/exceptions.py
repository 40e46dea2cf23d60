"""Errors of reading what the platform publishes."""

from __future__ import annotations

from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError


class InvalidServiceUrlError(OleanderweirError):
    """A URL cannot be that of the configuration service or the instance list."""

    code: ClassVar[str] = "invalid_service_url"


class ServiceReadError(OleanderweirError):
    """A read failed; ``reason`` is the label under which it is counted."""

    code: ClassVar[str] = "configuration_read_failed"
    reason: ClassVar[str] = "failed"


class ServiceUnavailableError(ServiceReadError):
    """The platform did not answer, or answered that it cannot."""

    code: ClassVar[str] = "configuration_service_unavailable"
    reason: ClassVar[str] = "unavailable"


class ServiceTimeoutError(ServiceUnavailableError):
    """The platform did not answer in time."""

    code: ClassVar[str] = "configuration_service_timeout"
    reason: ClassVar[str] = "timeout"


class ServiceThrottledError(ServiceUnavailableError):
    """The platform refused a read because of its rate limit."""

    code: ClassVar[str] = "configuration_service_throttled"
    reason: ClassVar[str] = "throttled"


class InvalidServiceResponseError(ServiceReadError):
    """The platform's answer breaks the protocol."""

    code: ClassVar[str] = "configuration_service_invalid_response"
    reason: ClassVar[str] = "invalid_response"
