from __future__ import annotations

import attrs
import pytest

from oleanderweir.config_check import ConfigDraft
from oleanderweir.config_check import FindingCode
from oleanderweir.config_check import ServiceLimits
from oleanderweir.config_check import Severity
from oleanderweir.config_check import check_configuration
from oleanderweir.desired_state import Route
from oleanderweir.desired_state import ServiceShare
from tests.oleanderweir.config_check.drafts import codes_of
from tests.oleanderweir.config_check.drafts import make_address
from tests.oleanderweir.config_check.drafts import make_draft
from tests.oleanderweir.config_check.drafts import make_route
from tests.oleanderweir.config_check.drafts import make_shares


def test_a_sound_configuration_has_no_findings() -> None:
    assert check_configuration(make_draft()) == []


@pytest.mark.parametrize(
    ("route", "code", "field"),
    [
        (make_route(timeout_s=0.0), FindingCode.NO_TIMEOUT, "timeout_s"),
        (
            make_route(target_latency_s=2.5),
            FindingCode.LATENCY_ABOVE_TIMEOUT,
            "target_latency_s",
        ),
        (make_route(timeout_s=16.0), FindingCode.IDLE_BELOW_TIMEOUT, "timeout_s"),
        (make_route(shares=make_shares(feed=0)), FindingCode.NO_WEIGHT, "shares"),
        (
            make_route(shares=(*make_shares(feed=0), *make_shares(feed=3))),
            FindingCode.ZERO_WEIGHT,
            "shares",
        ),
        (
            make_route(shares=make_shares(feed=1, typo=1)),
            FindingCode.UNLISTED_SERVICE,
            "shares",
        ),
    ],
    ids=lambda value: value.value if isinstance(value, FindingCode) else "",
)
def test_a_fault_of_a_route_is_found(
    route: Route, code: FindingCode, field: str
) -> None:
    found = next(f for f in check_configuration(make_draft(route)) if f.code is code)

    assert found.place == "route r1 (198.18.0.1:443)"
    assert found.field == field


@pytest.mark.parametrize("first_octet", [0, 224, 239, 240, 255])
def test_a_route_at_an_address_that_is_not_unicast_never_matches(
    first_octet: int,
) -> None:
    route = make_route(address=bytes([first_octet]) + make_address()[1:])

    assert codes_of(check_configuration(make_draft(route))) == [FindingCode.NOT_UNICAST]


def test_a_service_with_two_shares_of_a_route_is_found() -> None:
    share = ServiceShare(service="feed", weight=1)

    findings = check_configuration(make_draft(make_route(shares=(share, share))))

    assert codes_of(findings) == [FindingCode.REPEATED_SHARE]


def test_the_route_that_a_later_one_replaces_is_named() -> None:
    # An IPv6 address is of another length.
    other = make_route(name="r3", address=bytes([0x20, 1]) + bytes(15) + b"\x50")

    findings = check_configuration(
        make_draft(make_route(), make_route(name="r2"), other)
    )

    assert codes_of(findings) == [FindingCode.DUPLICATE_ADDRESS]
    assert findings[0].place.startswith("route r1 ")
    assert "route r2 " in findings[0].message


def test_a_name_of_two_routes_is_found_but_unnamed_routes_are_allowed() -> None:
    routes = [make_route(name="", address=make_address(n)) for n in (1, 2)]
    twice = [make_route(address=make_address(n)) for n in (3, 4)]

    findings = check_configuration(make_draft(*routes, *twice))

    assert codes_of(findings) == [FindingCode.DUPLICATE_NAME]


@pytest.mark.parametrize(
    ("service", "code"),
    [
        (
            ServiceLimits(name="feed", connection_limit=0),
            FindingCode.NO_CONNECTIONS,
        ),
        (
            ServiceLimits(name="feed", cold_start_rate_per_s=5.0),
            FindingCode.COLD_START_WITHOUT_DURATION,
        ),
        (
            ServiceLimits(name="feed", cold_start_duration_s=2.0),
            FindingCode.COLD_START_WITHOUT_RATE,
        ),
    ],
    ids=lambda value: value.value if isinstance(value, FindingCode) else "",
)
def test_a_fault_of_the_limits_of_a_service_is_found(
    service: ServiceLimits, code: FindingCode
) -> None:
    findings = check_configuration(make_draft(services=(service,)))

    assert codes_of(findings) == [code]
    assert findings[0].place == "service feed"


def test_services_that_are_listed_twice_or_not_used_are_found() -> None:
    feed, archive = ServiceLimits(name="feed"), ServiceLimits(name="archive")

    findings = check_configuration(make_draft(services=(feed, feed, archive)))

    assert codes_of(findings) == [
        FindingCode.DUPLICATE_SERVICE,
        FindingCode.UNUSED_SERVICE,
    ]


def test_a_configuration_without_services_gets_one_warning() -> None:
    findings = check_configuration(make_draft(services=None))

    assert codes_of(findings) == [FindingCode.NO_SERVICES]


def test_a_configuration_without_routes_gets_a_warning() -> None:
    draft = make_draft(routes=(), services=())

    assert codes_of(check_configuration(draft)) == [FindingCode.NO_ROUTES]


@pytest.mark.parametrize("version", [6, 7])
def test_a_version_that_would_be_ignored_is_an_error(version: int) -> None:
    draft = attrs.evolve(make_draft(), version=version)

    findings = check_configuration(draft, in_force=make_draft())

    assert codes_of(findings) == [FindingCode.VERSION_NOT_HIGHER]
    assert findings[0].severity is Severity.ERROR


def test_a_missing_entry_is_not_taken_for_a_removed_one() -> None:
    draft = ConfigDraft(
        version=None, routes=(), services=(), idle_timeout_s=None, is_complete=False
    )

    findings = check_configuration(draft, in_force=make_draft())

    assert codes_of(findings) == [FindingCode.NOT_COMPARED]


def test_all_findings_are_reported_at_once() -> None:
    draft = make_draft(
        make_route(timeout_s=0.0), make_route(shares=make_shares(feed=0)), version=7
    )

    codes = codes_of(check_configuration(draft, in_force=make_draft()))

    assert {
        FindingCode.NO_TIMEOUT,
        FindingCode.NO_WEIGHT,
        FindingCode.DUPLICATE_ADDRESS,
        FindingCode.VERSION_NOT_HIGHER,
    } <= set(codes)
