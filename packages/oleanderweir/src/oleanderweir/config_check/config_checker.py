"""The check of a whole configuration."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from oleanderweir.config_check.comparison import compare
from oleanderweir.config_check.finding import Finding
from oleanderweir.config_check.finding_code import FindingCode
from oleanderweir.config_check.places import CONFIGURATION
from oleanderweir.config_check.places import MAX_NAME_CHARS
from oleanderweir.config_check.places import describe_route
from oleanderweir.config_check.route_checks import check_route
from oleanderweir.config_check.service_checks import check_services


if TYPE_CHECKING:
    from collections.abc import Iterator

    from oleanderweir.config_check.config_draft import ConfigDraft
    from oleanderweir.desired_state import Route


def check_configuration(
    draft: ConfigDraft, *, in_force: ConfigDraft | None = None
) -> list[Finding]:
    """Return all findings about a configuration, and its differences if asked."""
    findings = list(_check_routes(draft))
    findings.extend(check_services(draft))
    if in_force is not None:
        findings.extend(_check_version(draft, in_force))
        findings.extend(_compare_complete(draft, in_force))
    return findings


def _check_routes(draft: ConfigDraft) -> Iterator[Finding]:
    """Find what is wrong with each route, and between routes."""
    if draft.is_complete and not draft.routes:
        yield Finding(
            code=FindingCode.NO_ROUTES,
            place=CONFIGURATION,
            field="routes",
            message="there are no routes, so no caller is served; add the routes",
        )
    for route in draft.routes:
        yield from check_route(route, idle_timeout_s=draft.idle_timeout_s)
    yield from _find_shadowed_routes(draft.routes)
    yield from _find_duplicate_names(draft.routes)


def _find_shadowed_routes(routes: tuple[Route, ...]) -> Iterator[Finding]:
    """Find routes that a later one of the same address and port replaces."""
    winners = {route.address: route for route in routes}
    for route in routes:
        winner = winners[route.address]
        if winner is not route:
            yield Finding(
                code=FindingCode.DUPLICATE_ADDRESS,
                place=describe_route(route),
                field="address",
                message=f"{describe_route(winner)} is listed later and replaces it; "
                "give each its own address and port, or remove one",
            )


def _find_duplicate_names(routes: tuple[Route, ...]) -> Iterator[Finding]:
    """Find names that several routes have; unnamed routes are no duplicates."""
    counts = Counter(route.name for route in routes if route.name)
    for name, count in counts.items():
        if count > 1:
            yield Finding(
                code=FindingCode.DUPLICATE_NAME,
                place=f"route {name[:MAX_NAME_CHARS]}",
                field="name",
                message=f"{count} routes have this name; rename all but one, so that "
                "logs can be read",
            )


def _check_version(draft: ConfigDraft, in_force: ConfigDraft) -> Iterator[Finding]:
    """Find a version that processes ignore, since they have one as high."""
    if draft.version is None or in_force.version is None:
        return
    if draft.version <= in_force.version:
        yield Finding(
            code=FindingCode.VERSION_NOT_HIGHER,
            place=CONFIGURATION,
            field="version",
            message=f"version {draft.version} isn't above {in_force.version}, which is "
            "in force, so it would be ignored; raise it",
        )


def _compare_complete(draft: ConfigDraft, in_force: ConfigDraft) -> Iterator[Finding]:
    """Compare with the version in force, unless invalid entries seem removed."""
    if draft.is_complete and in_force.is_complete:
        yield from compare(draft, in_force=in_force)
    else:
        yield Finding(
            code=FindingCode.NOT_COMPARED,
            place=CONFIGURATION,
            message="invalid entries would look like removed ones; correct them to see "
            "what differs from the version in force",
        )
