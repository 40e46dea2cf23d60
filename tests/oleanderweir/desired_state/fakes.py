from __future__ import annotations

import json
from typing import Any

from oleanderweir.desired_state import BackendRecord
from oleanderweir.desired_state import BackendState
from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import ColdStartLimit
from oleanderweir.desired_state import DesiredState
from oleanderweir.desired_state import InvalidDocumentError
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import Route
from oleanderweir.desired_state import ServiceShare
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic
from tests.oleanderweir.flows.fakes import make_route_address


# Before the zone in the name of an evacuation order.
EVACUATION_PREFIX = "evacuate-"


class FakeDecoder:
    """Decodes the documents of the functions below, and evacuation orders."""

    def decode_desired_state(self, document: bytes) -> DesiredState:
        fields = _load(document)
        routes = [
            make_route(number, service, is_idempotent=fields["are_idempotent"])
            for number, service in fields["routes"].items()
        ]
        return DesiredState(
            version=fields["version"],
            routes={route.address: route for route in routes},
            idle_timeout_s=15.0,
            cold_start_limits={
                service: ColdStartLimit(rate_per_s=rate_per_s, duration_s=2.0)
                for service, rate_per_s in fields["cold_rates"].items()
            },
        )

    def decode_evacuated_zone(self, name: str) -> str | None:
        if not name.startswith(EVACUATION_PREFIX):
            return None
        return name.removeprefix(EVACUATION_PREFIX)

    def check_evacuation_order(self, document: bytes) -> None:
        _load(document)

    def decode_backend_server(self, name: str, document: bytes) -> BackendRecord:
        fields = _load(document)
        return make_record(
            name,
            service=fields["service"],
            host=fields["host"],
            state=BackendState(fields["state"]),
            started_at_ms=fields["started_at_ms"],
            sequence=fields["sequence"],
            availability_zone=fields["availability_zone"],
            cold_remaining_s=fields["cold_remaining_s"],
        )


def _load(document: bytes) -> Any:
    try:
        return json.loads(document)
    except ValueError as error:
        raise InvalidDocumentError("document is not valid JSON") from error


def make_route(
    number: int | str, service: str, *, is_idempotent: bool = False
) -> Route:
    return Route(
        name=f"route-{number}",
        address=make_route_address(int(number)),
        shares=(ServiceShare(service=service, weight=1),),
        timeout_s=2.0,
        target_latency_s=0.25,
        priority=1,
        is_idempotent=is_idempotent,
    )


def make_record(
    identifier: str,
    *,
    service: str = "feed",
    host: str = "10.0.0.1",
    state: BackendState = BackendState.READY,
    started_at_ms: int = 1000,
    sequence: int = 1,
    slots: int = 4,
    availability_zone: str = "a",
    cold_remaining_s: float = 0.0,
) -> BackendRecord:
    return BackendRecord(
        identifier=identifier,
        service=service,
        host=host,
        port=8080,
        availability_zone=availability_zone,
        slots=slots,
        state=state,
        cold_remaining_s=cold_remaining_s,
        started_at_ms=started_at_ms,
        sequence=sequence,
    )


def desired_document(
    version: int,
    routes: dict[int, str],
    *,
    cold_rates: dict[str, float] | None = None,
    are_idempotent: bool = False,
) -> bytes:
    fields = {
        "version": version,
        "routes": routes,
        "cold_rates": cold_rates or {},
        "are_idempotent": are_idempotent,
    }
    return json.dumps(fields).encode()


def backend_document(
    *,
    host: str,
    service: str = "feed",
    state: str = "ready",
    started_at_ms: int = 1000,
    sequence: int = 1,
    availability_zone: str = "a",
    cold_remaining_s: float = 0.0,
) -> bytes:
    fields = {
        "service": service,
        "host": host,
        "state": state,
        "started_at_ms": started_at_ms,
        "sequence": sequence,
        "availability_zone": availability_zone,
        "cold_remaining_s": cold_remaining_s,
    }
    return json.dumps(fields).encode()


def order_change(zone: str, *, revision: int, document: bytes | None = b"{}") -> Change:
    """Return the write of an evacuation order, or its removal without a document."""
    name = EVACUATION_PREFIX + zone
    return Change(name=name, revision=revision, document=document)


def apply_orders(register: StateRegister, change: Change) -> None:
    """Apply an evacuation order or its removal as a watch delivers it."""
    revision, changes = change.revision, (change,)
    register.apply_changes(
        Changes(topic=Topic.DESIRED_STATE, revision=revision, changes=changes),
        origin="source",
    )


def make_register() -> StateRegister:
    return StateRegister(decoder=FakeDecoder(), on_change=lambda topic: None)


def publish(
    register: StateRegister,
    *,
    version: int = 1,
    routes: dict[int, str] | None = None,
    cold_rates: dict[str, float] | None = None,
    backends: dict[str, bytes] | None = None,
    revision: int = 10,
    are_idempotent: bool = False,
) -> None:
    """Apply one listing of each topic to a register."""
    desired = desired_document(
        version,
        routes or {1: "feed"},
        cold_rates=cold_rates,
        are_idempotent=are_idempotent,
    )
    register.apply_listing(
        Listing(
            topic=Topic.DESIRED_STATE,
            revision=revision,
            documents=(Change(name="desired", revision=revision, document=desired),),
        ),
        origin="test",
    )
    documents = backends or {}
    register.apply_listing(
        Listing(
            topic=Topic.BACKEND_SERVERS,
            revision=revision,
            documents=tuple(
                Change(name=name, revision=revision, document=document)
                for name, document in documents.items()
            ),
        ),
        origin="test",
    )
