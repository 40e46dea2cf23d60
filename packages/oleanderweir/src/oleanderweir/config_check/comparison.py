"""Differences between a configuration and the one in force."""

from __future__ import annotations

from collections import Counter
from fractions import Fraction
from typing import TYPE_CHECKING
from typing import Any

import attrs

from oleanderweir.config_check.finding import Finding
from oleanderweir.config_check.finding_code import FindingCode
from oleanderweir.config_check.places import CONFIGURATION
from oleanderweir.config_check.places import MAX_NAME_CHARS
from oleanderweir.config_check.places import describe_route
from oleanderweir.config_check.places import describe_service


if TYPE_CHECKING:
    from collections.abc import Iterator

    from oleanderweir.config_check.config_draft import ConfigDraft
    from oleanderweir.config_check.service_limits import ServiceLimits
    from oleanderweir.desired_state import Route


# The address identifies a route; shares are compared by service.
ROUTE_FIELDS_COMPARED_APART = frozenset({"address", "shares"})


def compare(draft: ConfigDraft, *, in_force: ConfigDraft) -> Iterator[Finding]:
    """Find what the configuration would change."""
    yield from _compare_routes(draft, in_force)
    yield from _compare_services(draft, in_force)
    if draft.idle_timeout_s != in_force.idle_timeout_s:
        yield Finding(
            code=FindingCode.LIMIT_CHANGED,
            place=CONFIGURATION,
            field="idle_timeout_s",
            message=_describe_change(
                "idle_timeout_s", in_force.idle_timeout_s, draft.idle_timeout_s
            ),
        )


def _compare_routes(draft: ConfigDraft, in_force: ConfigDraft) -> Iterator[Finding]:
    """Find routes that are added, removed or changed; the address identifies one."""
    # Of several routes with one address, the last is in force.
    before = {route.address: route for route in in_force.routes}
    after = {route.address: route for route in draft.routes}
    for address, route in before.items():
        if address not in after:
            yield Finding(
                code=FindingCode.ROUTE_REMOVED,
                place=describe_route(route),
                message="it is removed: new flows are reset, open flows may be dropped",
            )
    for address, route in after.items():
        if address in before:
            yield from _compare_route(before[address], route)
        else:
            yield Finding(
                code=FindingCode.ROUTE_ADDED,
                place=describe_route(route),
                message=f"it is added, to {_list_services(route)}",
            )


def _list_services(route: Route) -> str:
    """Return the services of a route."""
    names = dict.fromkeys(share.service for share in route.shares)
    return ", ".join(describe_service(name) for name in names)


def _compare_route(before: Route, after: Route) -> Iterator[Finding]:
    """Find the fields of a route that change, and the shares that move."""
    place = describe_route(after)
    for name, old, new in _find_changed_fields(before, after):
        if name not in ROUTE_FIELDS_COMPARED_APART:
            yield Finding(
                code=FindingCode.ROUTE_CHANGED,
                place=place,
                field=name,
                message=_describe_change(name, old, new),
            )
    old_shares, new_shares = _share_of_services(before), _share_of_services(after)
    for service in dict.fromkeys([*old_shares, *new_shares]):
        old_share = old_shares.get(service, Fraction(0))
        new_share = new_shares.get(service, Fraction(0))
        if old_share != new_share:
            yield Finding(
                code=FindingCode.SHARE_CHANGED,
                place=place,
                field="shares",
                message=f"{describe_service(service)} gets {_percent(new_share)} of "
                f"new flows, before {_percent(old_share)}; open flows stay",
            )


def _share_of_services(route: Route) -> dict[str, Fraction]:
    """Return the part of the new flows of a route that each service gets."""
    weights: Counter[str] = Counter()
    for share in route.shares:
        weights[share.service] += share.weight
    total = max(weights.total(), 1)
    return {name: Fraction(weight, total) for name, weight in weights.items()}


def _percent(share: Fraction) -> str:
    return f"{float(share * 100):.10g}%"


def _compare_services(draft: ConfigDraft, in_force: ConfigDraft) -> Iterator[Finding]:
    """Find services that are added, removed or changed."""
    before = {service.name: service for service in in_force.services or ()}
    after = {service.name: service for service in draft.services or ()}
    for name in before:
        if name not in after:
            yield Finding(
                code=FindingCode.SERVICE_REMOVED,
                place=describe_service(name),
                message="it is no longer listed",
            )
    for name, service in after.items():
        if name in before:
            yield from _compare_service(before[name], service)
        else:
            yield Finding(
                code=FindingCode.SERVICE_ADDED,
                place=describe_service(name),
                message="it is listed for the first time",
            )


def _compare_service(before: ServiceLimits, after: ServiceLimits) -> Iterator[Finding]:
    """Find the limits of a service that change."""
    for name, old, new in _find_changed_fields(before, after):
        yield Finding(
            code=FindingCode.SERVICE_CHANGED,
            place=describe_service(after.name),
            field=name,
            message=_describe_change(name, old, new),
        )


def _find_changed_fields(before: Any, after: Any) -> Iterator[tuple[str, Any, Any]]:
    """Yield name and both values of each field that differs, of one attrs class."""
    for field in attrs.fields(type(after)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield field.name, old, new


def _describe_change(name: str, old: Any, new: Any) -> str:
    """Return both values of a field, with the unit that its name ends with."""
    return f"from {_describe_value(name, old)} to {_describe_value(name, new)}"


def _describe_value(name: str, value: Any) -> str:
    if value is None:
        return "none"
    if name.endswith("_per_s"):
        return f"{value:.10g} a second"
    if name.endswith("_s"):
        return f"{value:.10g} s"
    return str(value)[:MAX_NAME_CHARS]
