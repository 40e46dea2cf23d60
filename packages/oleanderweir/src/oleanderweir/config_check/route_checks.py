"""Checks of each route by itself."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from oleanderweir.config_check.finding import Finding
from oleanderweir.config_check.finding_code import FindingCode
from oleanderweir.config_check.places import describe_route
from oleanderweir.config_check.places import describe_service
from oleanderweir.config_check.places import host_of


if TYPE_CHECKING:
    from collections.abc import Iterator

    from oleanderweir.desired_state import Route


def check_route(route: Route, *, idle_timeout_s: float | None) -> Iterator[Finding]:
    """Find what is wrong with a route; ``idle_timeout_s`` is that of its flows."""
    yield from _check_address(route)
    yield from _check_shares(route)
    yield from _check_times(route, idle_timeout_s)


def _check_address(route: Route) -> Iterator[Finding]:
    """Find an address that no packet of a caller can have."""
    host = host_of(route)
    is_this_network = host.packed[0] == 0
    if host.is_multicast or host.is_reserved or is_this_network:
        yield Finding(
            code=FindingCode.NOT_UNICAST,
            place=describe_route(route),
            field="address",
            message="no packet arrives there, so the route never matches; set a "
            "unicast address",
        )


def _check_shares(route: Route) -> Iterator[Finding]:
    """Find shares that no new flow uses, and services with several shares."""
    place = describe_route(route)
    unused = [share.service for share in route.shares if not share.weight]
    if len(unused) == len(route.shares):
        yield Finding(
            code=FindingCode.NO_WEIGHT,
            place=place,
            field="shares",
            message="no service has a weight above 0, so new flows are refused; give "
            "one a weight",
        )
    else:
        for service in unused:
            yield Finding(
                code=FindingCode.ZERO_WEIGHT,
                place=place,
                field="shares",
                message=f"{describe_service(service)} has weight 0 and gets no new "
                "flows; remove it, or give it a weight",
            )
    yield from _find_repeated_shares(route)


def _find_repeated_shares(route: Route) -> Iterator[Finding]:
    """Find services that a route lists more than once."""
    counts = Counter(share.service for share in route.shares)
    for service, count in counts.items():
        if count > 1:
            yield Finding(
                code=FindingCode.REPEATED_SHARE,
                place=describe_route(route),
                field="shares",
                message=f"{describe_service(service)} is listed {count} times and the "
                "weights add up; list it once",
            )


def _check_times(route: Route, idle_timeout_s: float | None) -> Iterator[Finding]:
    """Find times that contradict each other."""
    place = describe_route(route)
    if not route.timeout_s:
        yield Finding(
            code=FindingCode.NO_TIMEOUT,
            place=place,
            field="timeout_s",
            message="the timeout is 0 or missing, so a request that has to wait is "
            "dropped at once; set a timeout",
        )
        return
    if route.target_latency_s > route.timeout_s:
        yield Finding(
            code=FindingCode.LATENCY_ABOVE_TIMEOUT,
            place=place,
            field="target_latency_s",
            message=f"the target latency of {route.target_latency_s:g} s is above the "
            f"timeout of {route.timeout_s:g} s; lower it, or raise the timeout",
        )
    if idle_timeout_s is not None and idle_timeout_s < route.timeout_s:
        yield Finding(
            code=FindingCode.IDLE_BELOW_TIMEOUT,
            place=place,
            field="timeout_s",
            message=f"the idle timeout of {idle_timeout_s:g} s is below the timeout of "
            f"{route.timeout_s:g} s, so an open flow may be discarded while its "
            "request runs; raise the idle timeout, or lower the timeout",
        )
