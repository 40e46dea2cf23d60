"""The kinds of findings."""

from __future__ import annotations

import enum

from oleanderweir.config_check.severity import Severity


class FindingCode(enum.StrEnum):
    """What was found; OPERATORS.md says what to do about each."""

    INVALID_DOCUMENT = "invalid_document"
    INVALID_ROUTE = "invalid_route"
    INVALID_SERVICE = "invalid_service"
    VERSION_NOT_HIGHER = "version_not_higher"
    DUPLICATE_ADDRESS = "duplicate_address"
    DUPLICATE_SERVICE = "duplicate_service"
    UNLISTED_SERVICE = "unlisted_service"
    NO_WEIGHT = "no_weight"
    NO_TIMEOUT = "no_timeout"
    NO_CONNECTIONS = "no_connections"

    DUPLICATE_FIELD = "duplicate_field"
    UNKNOWN_FIELD = "unknown_field"
    IGNORED_FIELD = "ignored_field"
    NO_ROUTES = "no_routes"
    NO_SERVICES = "no_services"
    DUPLICATE_NAME = "duplicate_name"
    NOT_UNICAST = "not_unicast"
    ZERO_WEIGHT = "zero_weight"
    REPEATED_SHARE = "repeated_share"
    UNUSED_SERVICE = "unused_service"
    LATENCY_ABOVE_TIMEOUT = "latency_above_timeout"
    IDLE_BELOW_TIMEOUT = "idle_below_timeout"
    COLD_START_WITHOUT_DURATION = "cold_start_without_duration"
    COLD_START_WITHOUT_RATE = "cold_start_without_rate"
    NOT_COMPARED = "not_compared"

    ROUTE_ADDED = "route_added"
    ROUTE_REMOVED = "route_removed"
    ROUTE_CHANGED = "route_changed"
    SHARE_CHANGED = "share_changed"
    SERVICE_ADDED = "service_added"
    SERVICE_REMOVED = "service_removed"
    SERVICE_CHANGED = "service_changed"
    LIMIT_CHANGED = "limit_changed"

    @property
    def severity(self) -> Severity:
        """The severity of all findings of this kind."""
        if self in ERRORS:
            return Severity.ERROR
        return Severity.CHANGE if self in CHANGES else Severity.WARNING


ERRORS = frozenset(
    {
        FindingCode.INVALID_DOCUMENT,
        FindingCode.INVALID_ROUTE,
        FindingCode.INVALID_SERVICE,
        FindingCode.VERSION_NOT_HIGHER,
        FindingCode.DUPLICATE_ADDRESS,
        FindingCode.DUPLICATE_SERVICE,
        FindingCode.UNLISTED_SERVICE,
        FindingCode.NO_WEIGHT,
        FindingCode.NO_TIMEOUT,
        FindingCode.NO_CONNECTIONS,
    }
)
CHANGES = frozenset(
    {
        FindingCode.ROUTE_ADDED,
        FindingCode.ROUTE_REMOVED,
        FindingCode.ROUTE_CHANGED,
        FindingCode.SHARE_CHANGED,
        FindingCode.SERVICE_ADDED,
        FindingCode.SERVICE_REMOVED,
        FindingCode.SERVICE_CHANGED,
        FindingCode.LIMIT_CHANGED,
    }
)
