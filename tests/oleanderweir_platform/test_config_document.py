from __future__ import annotations

import json
from typing import Any

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderweir.config_check import FindingCode
from oleanderweir.config_check import ServiceLimits
from oleanderweir.desired_state import InvalidDocumentError
from oleanderweir.desired_state import Route
from oleanderweir_platform.config_check_command import check_document
from oleanderweir_platform.config_document import FIELD_NAMES
from oleanderweir_platform.config_document import ConfigDocumentReader
from oleanderweir_platform.store_documents import StoreDecoder


ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([10**400, 2**70, -1, 0, 80, "/80/", "/0/", "\ud800", [], {}, [[]]]),
    st.floats(),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.sampled_from(["Name", "Weight", "Service"]), st.integers()),
    st.just(json.loads("[" * 900 + "]" * 900)),
)
# Where an odd value replaces the sound one.
PATHS = [
    ("Version",),
    ("Routes",),
    ("Routes", 0),
    *(
        ("Routes", 0, name)
        for name in ("Name", "Host", "Prefix", "Type", "Service", "TimeoutMs")
    ),
    ("Routes", 0, "TrafficSplit"),
    ("Routes", 0, "TrafficSplit", 0),
    ("Routes", 0, "TrafficSplit", 0, "Service"),
    ("Routes", 0, "TrafficSplit", 0, "Weight"),
    ("Routes", 1, "TargetLatencyMs"),
    ("Routes", 1, "Priority"),
    ("Services",),
    ("Services", 0),
    *(("Services", 0, name) for name in ("Name", "MaxConns", "ColdStartS", "ColdPerS")),
    ("Limits",),
    ("Limits", "IdleTimeoutMs"),
    ("odd",),
]


def make_fields() -> dict[str, Any]:
    split = [{"Service": "feed", "Weight": 90}, {"Service": "archive", "Weight": 10}]
    times = {"TimeoutMs": 2000, "TargetLatencyMs": 225, "Priority": 2}
    first = {"Name": "r1", "Host": "198.18.0.1", "Prefix": "/443/", **times}
    second = {"Name": "r2", "Host": "198.18.0.2", "Prefix": "/80/", **times}
    return {
        "Version": 7,
        "Routes": [
            {**first, "TrafficSplit": split, "Type": "idempotent", "MaxAttempts": 2},
            {**second, "Service": "feed"},
        ],
        "Services": [
            {"Name": "feed", "MaxConns": 2000, "ColdStartS": 2.0, "ColdPerS": 5.0},
            {"Name": "archive", "HealthPath": "/", "Protocol": "h1", "Tls": False},
        ],
        "Limits": {"IdleTimeoutMs": 12000, "MaxBodyBytes": 262144},
    }


def check(fields: object) -> list[tuple[FindingCode, str, str]]:
    findings = check_document(json.dumps(fields).encode(), None)
    return [(f.code, f.place, f.field) for f in findings]


def is_rejected(document: bytes) -> bool:
    try:
        StoreDecoder().decode_desired_state(document)
    except InvalidDocumentError:
        return True
    return False


def test_a_sound_document_has_no_findings() -> None:
    reader = ConfigDocumentReader()

    draft = reader.read(json.dumps(make_fields()).encode())

    assert reader.findings == []
    assert draft is not None
    assert draft.is_complete
    assert (draft.version, draft.idle_timeout_s) == (7, 12.0)
    assert draft.services is not None
    assert draft.services[0].cold_start_rate_per_s == 5.0


def test_every_invalid_field_is_named() -> None:
    fields = make_fields()
    fields["Version"] = "7"
    fields["Routes"][0].update(Host="198.18:443", Priority=-1, Service=7)
    del fields["Routes"][1]["Service"]
    fields["Services"][1]["MaxConns"] = 2.5
    fields["Routes"].append("r3")

    assert check(fields)[:6] == [
        (FindingCode.INVALID_DOCUMENT, "configuration", "Version"),
        (FindingCode.INVALID_ROUTE, "Routes[0] r1", "Host"),
        (FindingCode.INVALID_ROUTE, "Routes[0] r1", "Priority"),
        (FindingCode.INVALID_ROUTE, "Routes[1] r2", "Service"),
        (FindingCode.INVALID_ROUTE, "Routes[2]", ""),
        (FindingCode.INVALID_SERVICE, "Services[1] archive", "MaxConns"),
    ]


def test_fields_without_effect_are_found() -> None:
    fields = make_fields()
    fields["Routes"][0].update(Service="feed", TimeoutMS=5)
    fields["Limits"]["IdleTimeout"] = 5
    document = json.dumps(fields).encode().replace(b'"MaxAtt', b'"Name": "r1", "MaxAtt')

    findings = check_document(document, None)

    assert [(f.code, f.field) for f in findings] == [
        (FindingCode.DUPLICATE_FIELD, "Name"),
        (FindingCode.UNKNOWN_FIELD, "IdleTimeout"),
        (FindingCode.UNKNOWN_FIELD, "TimeoutMS"),
        (FindingCode.IGNORED_FIELD, "Service"),
    ]


@pytest.mark.parametrize(
    "document",
    [b"", b"\xff\x00", b"[]", b"7", b"[" * 100_000, b'{"a":' * 100_000, b"9" * 5000],
    ids=lambda document: repr(document[:8]),
)
def test_a_document_that_is_no_object_gives_one_finding(document: bytes) -> None:
    findings = check_document(document, None)

    assert [finding.code for finding in findings] == [FindingCode.INVALID_DOCUMENT]


@given(st.lists(st.tuples(st.sampled_from(PATHS), ODD_VALUES), max_size=3))
def test_odd_values_give_findings_as_the_processes_judge_them(
    changes: list[tuple[tuple[Any, ...], Any]],
) -> None:
    fields = make_fields()
    for path, value in changes:
        target: Any = fields
        try:
            for step in path[:-1]:
                target = target[step]
            # A copy, since a later change may be inside the value.
            target[path[-1]] = json.loads(json.dumps(value))
        except (KeyError, IndexError, TypeError):
            continue
    document = json.dumps(fields).encode()

    codes = {finding.code for finding in check_document(document, None)}

    invalid = {FindingCode.INVALID_DOCUMENT, FindingCode.INVALID_ROUTE}
    if is_rejected(document):
        assert codes & (invalid | {FindingCode.INVALID_SERVICE})
    elif isinstance(fields["Routes"], list) and isinstance(fields["Services"], list):
        assert not codes & invalid


@given(st.binary(max_size=64))
def test_any_bytes_give_an_invalid_document(document: bytes) -> None:
    codes = [finding.code for finding in check_document(document, None)]

    assert (FindingCode.INVALID_DOCUMENT in codes) == is_rejected(document)


def test_every_compared_field_has_a_name_of_the_platform() -> None:
    fields: list[Any] = [*attrs.fields(Route), *attrs.fields(ServiceLimits)]

    assert {field.name for field in fields} <= FIELD_NAMES.keys()
