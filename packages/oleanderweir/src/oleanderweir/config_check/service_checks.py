"""Checks of the listed services."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from oleanderweir.config_check.finding import Finding
from oleanderweir.config_check.finding_code import FindingCode
from oleanderweir.config_check.places import CONFIGURATION
from oleanderweir.config_check.places import describe_route
from oleanderweir.config_check.places import describe_service


if TYPE_CHECKING:
    from collections.abc import Iterator

    from oleanderweir.config_check.config_draft import ConfigDraft
    from oleanderweir.config_check.service_limits import ServiceLimits


def check_services(draft: ConfigDraft) -> Iterator[Finding]:
    """Find what is wrong with the services, and between them and the routes."""
    if draft.services is None:
        yield Finding(
            code=FindingCode.NO_SERVICES,
            place=CONFIGURATION,
            field="services",
            message="no services are listed, so those of the routes weren't checked; "
            "list them",
        )
        return
    for service in draft.services:
        yield from _check_limits(service)
    counts = Counter(service.name for service in draft.services)
    for name, count in counts.items():
        if count > 1:
            yield Finding(
                code=FindingCode.DUPLICATE_SERVICE,
                place=describe_service(name),
                message=f"it is listed {count} times, so its limits are ambiguous; "
                "list it once",
            )
    # An invalid entry may name the service that would be missed.
    if draft.is_complete:
        yield from _check_references(draft, listed=set(counts))


def _check_limits(service: ServiceLimits) -> Iterator[Finding]:
    """Find limits of a service that exclude all work or contradict each other."""
    place = describe_service(service.name)
    if service.connection_limit == 0:
        yield Finding(
            code=FindingCode.NO_CONNECTIONS,
            place=place,
            field="connection_limit",
            message="a backend server may hold no flow; set a limit above 0",
        )
    rate_per_s = service.cold_start_rate_per_s
    duration_s = service.cold_start_duration_s
    if rate_per_s and not duration_s:
        yield Finding(
            code=FindingCode.COLD_START_WITHOUT_DURATION,
            place=place,
            field="cold_start_duration_s",
            message=f"the cold-start rate of {rate_per_s:g} requests a second applies "
            "for 0 s and has no effect; set a duration, or remove the rate",
        )
    if duration_s and not rate_per_s:
        yield Finding(
            code=FindingCode.COLD_START_WITHOUT_RATE,
            place=place,
            field="cold_start_rate_per_s",
            message=f"backend servers are slow for {duration_s:g} s after a start, but "
            "no rate limits what they get; set a rate if they need it",
        )


def _check_references(draft: ConfigDraft, *, listed: set[str]) -> Iterator[Finding]:
    """Find services that only the routes or only the list have."""
    routed: set[str] = set()
    for route in draft.routes:
        services = {share.service for share in route.shares}
        routed |= services
        for name in sorted(services - listed):
            yield Finding(
                code=FindingCode.UNLISTED_SERVICE,
                place=describe_route(route),
                field="shares",
                message=f"{describe_service(name)} isn't listed; list it, or correct "
                "its name",
            )
    for name in sorted(listed - routed):
        yield Finding(
            code=FindingCode.UNUSED_SERVICE,
            place=describe_service(name),
            message="no route leads to it; add a route, or remove it",
        )
