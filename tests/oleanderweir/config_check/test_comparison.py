from __future__ import annotations

import attrs

from oleanderweir.config_check import FindingCode
from oleanderweir.config_check import ServiceLimits
from oleanderweir.config_check import compare
from tests.oleanderweir.config_check.drafts import codes_of
from tests.oleanderweir.config_check.drafts import make_address
from tests.oleanderweir.config_check.drafts import make_draft
from tests.oleanderweir.config_check.drafts import make_route
from tests.oleanderweir.config_check.drafts import make_shares


def test_a_new_version_with_the_same_entries_changes_nothing() -> None:
    draft = make_draft(version=8)

    assert list(compare(draft, in_force=make_draft())) == []


def test_a_route_at_another_address_is_removed_and_added() -> None:
    moved = make_route(address=make_address(port=444))

    findings = list(compare(make_draft(moved), in_force=make_draft()))

    assert codes_of(findings) == [FindingCode.ROUTE_REMOVED, FindingCode.ROUTE_ADDED]
    assert "open flows may be dropped" in findings[0].message


def test_each_changed_field_of_a_route_is_reported() -> None:
    changed = make_route(name="r9", timeout_s=3.5)

    findings = list(compare(make_draft(changed), in_force=make_draft()))

    assert codes_of(findings) == [FindingCode.ROUTE_CHANGED] * 2
    assert [(f.field, f.message) for f in findings] == [
        ("name", "from r1 to r9"),
        ("timeout_s", "from 2 s to 3.5 s"),
    ]


def test_shares_that_move_are_reported_by_service() -> None:
    before = make_route(shares=make_shares(feed=90, archive=10))
    after = make_route(shares=make_shares(feed=1, spare=1))

    findings = list(compare(make_draft(after), in_force=make_draft(before)))

    assert codes_of(findings) == [FindingCode.SHARE_CHANGED] * 3
    assert [f.message.split(";")[0] for f in findings] == [
        "service feed gets 50% of new flows, before 90%",
        "service archive gets 0% of new flows, before 10%",
        "service spare gets 50% of new flows, before 0%",
    ]


def test_weights_in_the_same_proportion_move_no_share() -> None:
    before = make_route(shares=make_shares(feed=9, archive=1))
    after = make_route(shares=make_shares(feed=90, archive=10))

    assert list(compare(make_draft(after), in_force=make_draft(before))) == []


def test_changes_of_services_and_limits_are_reported() -> None:
    feed = ServiceLimits(name="feed", connection_limit=100)
    in_force = make_draft(services=(feed, ServiceLimits(name="archive")))
    draft = attrs.evolve(
        in_force,
        services=(
            attrs.evolve(feed, connection_limit=None, cold_start_rate_per_s=5.0),
            ServiceLimits(name="spare"),
        ),
        idle_timeout_s=20.0,
    )

    findings = list(compare(draft, in_force=in_force))

    assert [(f.code, f.message) for f in findings] == [
        (FindingCode.SERVICE_REMOVED, "it is no longer listed"),
        (FindingCode.SERVICE_CHANGED, "from 100 to none"),
        (FindingCode.SERVICE_CHANGED, "from 0 a second to 5 a second"),
        (FindingCode.SERVICE_ADDED, "it is listed for the first time"),
        (FindingCode.LIMIT_CHANGED, "from 15 s to 20 s"),
    ]


def test_only_the_last_route_of_an_address_is_compared() -> None:
    in_force = make_draft(make_route(name="r0"), make_route())

    assert list(compare(make_draft(), in_force=in_force)) == []
