from __future__ import annotations

import contextlib
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir.configuration import BackendServer
from oleanderweir.configuration import Service
from oleanderweir.net import SocketAddress
from oleanderweir.tickets import MAX_TICKET_BYTES
from oleanderweir.tickets import InvalidTicketError
from oleanderweir.tickets import decode_entries
from oleanderweir.tickets import encode_entries
from oleanderweir.tickets import parse_ticket
from tests.oleanderweir.tickets.values import tombstone


SERVICE: dict[str, Any] = {"address": "192.0.2.1:443"}
BACKEND_SERVER: dict[str, Any] = {
    "service": "horaflujo",
    "availability_zone": "stgo-b",
    "agent_address": "192.0.2.9:4433",
    "peer_address": "192.0.2.9:4434",
    "slots": 4,
}


def make_text(**sections: Any) -> str:
    return json.dumps({"ticket": 17} | sections)


def paths_of(text: str) -> list[str]:
    with pytest.raises(InvalidTicketError) as caught:
        parse_ticket(text)
    return [problem.path for problem in caught.value.problems]


def test_ticket_holds_the_complete_state_of_its_keys() -> None:
    service = SERVICE | {"feed_paths": ["/ticks"], "request_timeout_s": 5}
    service["max_copy_share"] = 0.2
    backend_server = BACKEND_SERVER | {"is_draining": True, "drain_period_s": 30}

    ticket = parse_ticket(
        make_text(
            comment="Drain one",
            services={"horaflujo": service, "boletin": None},
            backend_servers={"horaflujo-1": backend_server},
        )
    )

    address = SocketAddress(host="192.0.2.1", port=443)
    assert ticket.number == 17
    assert [entry.value for entry in ticket.entries] == [
        Service(
            name="horaflujo",
            address=address,
            request_timeout_s=5.0,
            feed_paths=("/ticks",),
            max_copy_share=0.2,
        ),
        None,
        BackendServer(
            name="horaflujo-1",
            service="horaflujo",
            availability_zone="stgo-b",
            agent_address=SocketAddress(host="192.0.2.9", port=4433),
            peer_address=SocketAddress(host="192.0.2.9", port=4434),
            slots=4,
            is_draining=True,
            drain_period_s=30.0,
        ),
    ]
    assert ticket.entries[1] == tombstone(17, name="boletin")
    assert decode_entries(encode_entries(ticket.entries)) == ticket.entries


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("address", "192.0.2.1"),
        ("address", "0.0.0.0:443"),
        ("address", "224.0.0.1:443"),
        ("address", "255.255.255.255:443"),
        ("address", 443),
        ("request_timeout_s", 0),
        ("request_timeout_s", -1),
        ("request_timeout_s", 1e999),
        ("request_timeout_s", 3601),
        ("request_timeout_s", "5"),
        ("retry_ratio", 1.01),
        ("retry_ratio", True),
        ("max_copy_share", -0.01),
        ("max_copy_share", 0.21),
        ("feed_paths", "/ticks"),
        ("feed_paths", ["ticks"]),
        ("feed_paths", ["/a b"]),
        ("feed_paths", [4]),
        ("feed_paths", ["/a", "/a"]),
        ("feed_paths", [f"/{number}" for number in range(17)]),
        ("colour", "blue"),
        ("name", "horaflujo"),
    ],
)
def test_service_fields_are_checked(field: str, value: object) -> None:
    text = make_text(services={"horaflujo": SERVICE | {field: value}})

    if value == 1e999:
        text = text.replace("Infinity", "1e999")
    assert paths_of(text) == [f"services.horaflujo.{field}"]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", "Horaflujo"),
        ("service", "-a"),
        ("availability_zone", ""),
        ("availability_zone", "a" * 64),
        ("agent_address", None),
        ("peer_address", "host:1"),
        ("slots", 0),
        ("slots", 10_001),
        ("slots", 4.0),
        ("slots", True),
        ("slots", 10**400),
        ("connections", 0),
        ("is_draining", 1),
        ("drain_period_s", 0.5),
        ("drain_period_s", 86_401),
    ],
)
def test_backend_server_fields_are_checked(field: str, value: object) -> None:
    text = make_text(backend_servers={"h-1": BACKEND_SERVER | {field: value}})

    assert paths_of(text) == [f"backend_servers.h-1.{field}"]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "is not valid JSON at line 1 column 1"),
        ("[]", "is not a JSON object"),
        ('{"ticket": 1, "ticket": 2}', "has duplicate names in one object: ticket;"),
        (
            '{"ticket": 1, "services": {"a": null, "a": null}}',
            "has duplicate names in one object: a;",
        ),
        ('{"ticket": NaN}', "contains NaN"),
        ('{"ticket": -Infinity}', "contains -Infinity"),
        ("[" * 100_000, "is nested too deeply"),
        ('{"ticket": ' + "9" * 5000 + "}", "too many digits"),
        (" " * (MAX_TICKET_BYTES + 1), "split it into tickets of at most"),
        ('{"ticket": 1}', "has no entries"),
        ('{"ticket": 1, "services": {}}', "has no entries"),
        ('{"ticket": 1, "services": []}', "services: is not a JSON object"),
        ('{"ticket": 1, "services": {"a": 1}}', "null to remove"),
        ('{"ticket": 1, "services": {"A": null}}', "'A' is not a valid name"),
        ('{"services": {"a": null}}', "ticket: is not an integer"),
        ('{"ticket": 0, "services": {"a": null}}', "ticket: is out of range"),
        (
            '{"ticket": 1, "services": {"a": null}, "comment": 1}',
            "comment: is not a string",
        ),
        (
            '{"ticket": 1, "services": {"a": null}, "\\ud800": 1}',
            "\\ud800: is not a known",
        ),
    ],
)
def test_documents_are_checked(text: str, message: str) -> None:
    with pytest.raises(InvalidTicketError) as caught:
        parse_ticket(text)

    assert caught.value.code == "invalid_ticket"
    assert message in str(caught.value)


def test_every_problem_is_reported_with_its_remedy() -> None:
    text = make_text(
        services={"horaflujo": {"adress": "192.0.2.1:443"}},
        backend_servers={"h-1": BACKEND_SERVER | {"slots": 0}},
    )

    with pytest.raises(InvalidTicketError) as caught:
        parse_ticket(text)

    assert [str(problem) for problem in caught.value.problems] == [
        "services.horaflujo.adress: is not a known field; "
        "use address, request_timeout_s, retry_ratio, feed_paths, max_copy_share",
        "services.horaflujo.address: is missing; "
        "write a unicast IPv4 address and port, such as 192.0.2.1:443",
        "backend_servers.h-1.slots: is out of range; write an integer from 1 to 10000",
    ]


def test_long_lists_of_problems_are_truncated_in_the_message_only() -> None:
    text = make_text(services={f"s-{number}": 1 for number in range(50)})

    with pytest.raises(InvalidTicketError, match="and 30 more") as caught:
        parse_ticket(text)

    assert len(caught.value.problems) == 50


@pytest.mark.parametrize(
    ("sections", "path"),
    [
        (
            {"services": {"a": SERVICE, "b": SERVICE}},
            "services.b.address",
        ),
        (
            {"backend_servers": {"a": BACKEND_SERVER, "b": BACKEND_SERVER}},
            "backend_servers.b.agent_address",
        ),
        (
            {
                "services": {"a": {"address": BACKEND_SERVER["agent_address"]}},
                "backend_servers": {"b": BACKEND_SERVER},
            },
            "backend_servers.b.agent_address",
        ),
        (
            {
                "services": {"horaflujo": None},
                "backend_servers": {"b": BACKEND_SERVER},
            },
            "backend_servers.b.service",
        ),
    ],
    ids=["services", "backend-servers", "service-and-agent", "removed-service"],
)
def test_inconsistencies_within_a_ticket_are_rejected(
    sections: dict[str, Any], path: str
) -> None:
    assert path in paths_of(make_text(**sections))


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["ticket", "services", "backend_servers", "a", "address"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@settings(max_examples=100)
@given(value=JSON_VALUES, cut=st.integers(min_value=0, max_value=3))
def test_any_text_is_parsed_or_rejected(value: object, cut: int) -> None:
    text = json.dumps(value)

    with contextlib.suppress(InvalidTicketError):
        assert parse_ticket(text[: len(text) - cut]).entries
