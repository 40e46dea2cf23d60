from __future__ import annotations

import json
from typing import Any

import pytest

from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import ColdStartLimit
from oleanderweir.desired_state import InvalidDocumentError
from oleanderweir_platform.store_documents import StoreDecoder


ROUTE_ADDRESS = bytes([198, 18, 0, 1]) + (8443).to_bytes(2, "big")


def make_entry() -> dict[str, Any]:
    return {
        "Service": "feed",
        "Address": "10.128.0.9:8080",
        "Zone": "a",
        "Version": "v1",
        "Concurrency": 3,
        "State": "ready",
        "ColdRemainingMs": 1500,
        "Seq": 4,
        "born": 1792388503500,
    }


def make_desired() -> dict[str, Any]:
    split = [{"Service": "feed", "Weight": 90}, {"Service": "archive", "Weight": 10}]
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "r1",
                "Host": "198.18.0.1",
                "Prefix": "/8443/",
                "TimeoutMs": 2000,
                "TargetLatencyMs": 225,
                "Priority": 2,
                "TrafficSplit": split,
            },
            {"Name": "r2", "Host": "198.18.0.2", "Prefix": "/80/", "Service": "feed"},
        ],
        "Limits": {"IdleTimeoutMs": 12000},
    }


def test_an_entry_is_decoded_to_a_backend_server() -> None:
    document = json.dumps(make_entry()).encode()

    record = StoreDecoder().decode_backend_server("servers/i-1", document)

    assert record.identifier == "i-1"
    assert (record.host, record.port) == ("10.128.0.9", 8080)
    assert record.slots == 3
    assert record.cold_remaining_s == 1.5
    assert record.state is BackendState.READY
    assert (record.started_at_ms, record.sequence) == (1792388503500, 4)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("Service", None),
        ("Address", "nowhere:80"),
        ("State", "asleep"),
        ("Concurrency", "many"),
        ("ColdRemainingMs", None),
        ("Concurrency", float("inf")),
        ("born", float("inf")),
        ("State", ["ready"]),
        ("Address", 7),
        ("Seq", None),
        ("Seq", -1),
        ("Seq", True),
        ("Seq", 2**70),
        ("Concurrency", 0),
        ("Concurrency", -3),
        ("Concurrency", 2.5),
        ("Concurrency", "3"),
        ("Concurrency", True),
        ("Concurrency", 10**400),
        ("ColdRemainingMs", float("nan")),
        ("ColdRemainingMs", -1),
        ("ColdRemainingMs", 1e300),
        ("ColdRemainingMs", "1500"),
        ("born", -1),
        ("born", 1.5),
        ("born", 2**63),
        ("born", None),
        ("Address", "10.128.0.9:0"),
        ("Address", "10.128.0.9:65536"),
        ("Address", "10.128.0.9:-1"),
        ("Address", "10.128.0.9: 80"),
        ("Address", "10.128.0.9:8_0"),
        ("Address", "10.128.0.9:\u0663"),
        ("Address", "10.128.0.9"),
        ("Address", "10.128:80"),
        ("Address", "10.128.0.9 x:80"),
        ("Address", "0.0.0.0:80"),
        ("Address", "224.0.0.1:80"),
        ("Address", "255.255.255.255:80"),
        ("Service", ""),
        ("Service", "x" * 256),
        ("Service", "\ud800"),
        ("Service", json.loads("[" * 900 + "]" * 900)),
        ("Zone", {}),
        ("Zone", "\ud800"),
        ("State", True),
    ],
    ids=lambda value: repr(value)[:40],
)
def test_an_invalid_entry_is_rejected(field: str, value: object) -> None:
    document = json.dumps({**make_entry(), field: value}).encode()

    with pytest.raises(InvalidDocumentError, match="the backend server is not used"):
        StoreDecoder().decode_backend_server("servers/i-1", document)


@pytest.mark.parametrize("document", [b"\xff\x00", b"[]", b"7", b"[" * 100_000])
def test_an_entry_that_is_not_a_json_object_is_rejected(document: bytes) -> None:
    with pytest.raises(InvalidDocumentError):
        StoreDecoder().decode_backend_server("servers/i-1", document)


def test_both_forms_of_a_route_are_decoded() -> None:
    desired = StoreDecoder().decode_desired_state(json.dumps(make_desired()).encode())

    assert desired.version == 7
    assert desired.idle_timeout_s == 12.0
    route = desired.routes[ROUTE_ADDRESS]
    assert [share.weight for share in route.shares] == [90, 10]
    assert route.target_latency_s == 0.225
    single = bytes([198, 18, 0, 2, 0, 80])
    assert desired.routes[single].choose_service(5) == "feed"


@pytest.mark.parametrize(
    ("kind", "is_idempotent"),
    [
        ("idempotent", True),
        ("download", True),
        ("non_idempotent", False),
        ("upload", False),
        ("stream", False),
        (None, False),
        (["idempotent"], False),
    ],
)
def test_only_some_kinds_of_routes_are_idempotent(
    kind: object, is_idempotent: bool
) -> None:
    document = make_desired()
    document["Routes"][0]["Type"] = kind

    desired = StoreDecoder().decode_desired_state(json.dumps(document).encode())

    assert desired.routes[ROUTE_ADDRESS].is_idempotent is is_idempotent


def test_a_desired_state_without_a_version_is_rejected() -> None:
    fields = make_desired()
    del fields["Version"]

    with pytest.raises(InvalidDocumentError, match="publish it again"):
        StoreDecoder().decode_desired_state(json.dumps(fields).encode())


def test_a_route_with_a_port_out_of_range_is_rejected() -> None:
    fields = make_desired()
    fields["Routes"][0]["Prefix"] = "/99999/"

    with pytest.raises(InvalidDocumentError, match="publish it again"):
        StoreDecoder().decode_desired_state(json.dumps(fields).encode())


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("Weight", -1),
        ("Weight", 10**400),
        ("Weight", True),
        ("Service", json.loads("[" * 900 + "]" * 900)),
    ],
    ids=lambda value: repr(value)[:40],
)
def test_a_share_that_is_out_of_range_is_rejected(field: str, value: object) -> None:
    fields = make_desired()
    fields["Routes"][0]["TrafficSplit"][0][field] = value

    with pytest.raises(InvalidDocumentError, match="publish it again"):
        StoreDecoder().decode_desired_state(json.dumps(fields).encode())


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("TimeoutMs", float("nan")),
        ("TimeoutMs", -1),
        ("TargetLatencyMs", 10**400),
        ("Priority", 1.5),
        ("Host", "198.18:443"),
        ("Prefix", "/8_0/"),
        ("Prefix", 80),
        ("Name", ["r"]),
    ],
    ids=lambda value: repr(value)[:40],
)
def test_a_route_that_is_out_of_range_is_rejected(field: str, value: object) -> None:
    fields = make_desired()
    fields["Routes"][0][field] = value

    with pytest.raises(InvalidDocumentError, match="publish it again"):
        StoreDecoder().decode_desired_state(json.dumps(fields).encode())


@pytest.mark.parametrize("version", [0, -1, True, 7.5, "7", None])
def test_a_version_that_is_no_positive_integer_is_rejected(version: object) -> None:
    fields = {**make_desired(), "Version": version}

    with pytest.raises(InvalidDocumentError, match="publish it again"):
        StoreDecoder().decode_desired_state(json.dumps(fields).encode())


# Guards against a copy of an entry without a field, which hid that its original drains.
@pytest.mark.parametrize(
    "field",
    [
        "Service",
        "Address",
        "Zone",
        "Version",
        "Concurrency",
        "State",
        "ColdRemainingMs",
        "Seq",
    ],
)
def test_an_entry_without_one_of_its_fields_is_rejected(field: str) -> None:
    fields = make_entry()
    del fields[field]

    with pytest.raises(InvalidDocumentError):
        StoreDecoder().decode_backend_server("servers/i-1", json.dumps(fields).encode())


def test_a_large_entry_is_rejected_before_it_is_parsed() -> None:
    document = json.dumps({**make_entry(), "Version": "x" * 2**20}).encode()

    with pytest.raises(InvalidDocumentError, match="1048"):
        StoreDecoder().decode_backend_server("servers/i-1", document)


def test_new_fields_of_an_entry_are_ignored() -> None:
    document = json.dumps({**make_entry(), "Weather": {"wind": [1, None]}}).encode()

    record = StoreDecoder().decode_backend_server("servers/i-1", document)

    assert record.service == "feed"


def test_the_reason_of_a_rejection_is_short() -> None:
    document = json.dumps({**make_entry(), "Zone": list(range(3000))}).encode()

    with pytest.raises(InvalidDocumentError) as raised:
        StoreDecoder().decode_backend_server("servers/i-1", document)

    assert len(raised.value.message) < 500


def test_an_evacuation_order_names_its_zone() -> None:
    decode = StoreDecoder().decode_evacuated_zone

    assert decode("op/evacuate/oslo-a") == "oslo-a"
    assert decode("op/config") is None
    with pytest.raises(InvalidDocumentError, match="names no zone"):
        decode("op/evacuate/")


@pytest.mark.parametrize("document", [b"", b"[]", b"\xff"])
def test_an_invalid_value_of_an_evacuation_order_is_reported(document: bytes) -> None:
    StoreDecoder().check_evacuation_order(b"{}")
    with pytest.raises(InvalidDocumentError, match="write {}"):
        StoreDecoder().check_evacuation_order(document)


def test_services_with_a_rate_have_a_limit_in_cold_starts() -> None:
    odd: list[Any] = [None, 7, {}, {"Name": "x", "ColdStartS": "2", "ColdPerS": 5}]
    services = [
        {"Name": "feed", "ColdStartS": 2.0, "ColdPerS": 5.5},
        {"Name": "archive", "ColdStartS": 2.0, "ColdPerS": 0.0},
        *odd,
    ]
    document = json.dumps({**make_desired(), "Services": services}).encode()

    desired = StoreDecoder().decode_desired_state(document)

    limit = ColdStartLimit(rate_per_s=5.5, duration_s=2.0)
    assert desired.cold_start_limits == {"feed": limit}


@pytest.mark.parametrize("services", [None, "feed", 7, {"feed": {}}])
def test_odd_services_leave_the_routes_in_force(services: object) -> None:
    document = json.dumps({**make_desired(), "Services": services}).encode()

    desired = StoreDecoder().decode_desired_state(document)

    assert desired.cold_start_limits == {}
    assert desired.routes
