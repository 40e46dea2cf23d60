from __future__ import annotations

import contextlib
from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir.configuration import Service
from oleanderweir.tickets import InvalidEntryError
from oleanderweir.tickets import decode_entries
from oleanderweir.tickets import encode_entries
from tests.oleanderweir.tickets.values import backend_server_entry
from tests.oleanderweir.tickets.values import service_entry
from tests.oleanderweir.tickets.values import tombstone


NAN = float("nan")
DOCUMENT: dict[str, Any] = {"name": "horaflujo", "address": "192.0.2.1:443"}


def test_entries_round_trip_with_their_digests() -> None:
    entries = (
        service_entry(3),
        tombstone(4, name="boletin"),
        backend_server_entry(5, name="horaflujo-1"),
    )

    decoded = decode_entries(encode_entries(entries))

    assert decoded == entries
    assert [entry.digest for entry in decoded] == [entry.digest for entry in entries]


def test_unknown_fields_are_preserved() -> None:
    document = DOCUMENT | {"colour": "blue"}
    data = msgpack.packb([["service", "horaflujo", 3, document, "new element"]])

    (entry,) = decode_entries(data)

    assert isinstance(entry.value, Service)
    assert entry.document == document
    assert decode_entries(encode_entries([entry])) == (entry,)
    assert entry.digest != service_entry(3).digest


def test_unknown_kinds_are_skipped() -> None:
    data = msgpack.packb([["region", "x", 3, {}], ["service", "boletin", 4, None]])

    assert decode_entries(data) == (tombstone(4, name="boletin"),)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgpack.packb({}),
        msgpack.packb([1]),
        msgpack.packb([["service"]]),
        msgpack.packb([["service", "horaflujo", 0, None]]),
        msgpack.packb([["service", "horaflujo", True, None]]),
        msgpack.packb([["service", "horaflujo", 3, []]]),
        msgpack.packb([["service", "horaflujo", 3, {"name": "horaflujo"}]]),
        msgpack.packb([["service", "boletin", 3, DOCUMENT]]),
        msgpack.packb([["service", "horaflujo", 3, DOCUMENT | {"address": 4}]]),
        msgpack.packb([["service", "horaflujo", 3, DOCUMENT | {"feed_paths": [1]}]]),
        msgpack.packb([["service", "horaflujo", 3, DOCUMENT | {"retry_ratio": "a"}]]),
        msgpack.packb([["service", "horaflujo", 3, DOCUMENT | {"retry_ratio": NAN}]]),
        msgpack.packb([["service", "horaflujo", 3, DOCUMENT | {b"colour": 1}]]),
        encode_entries([service_entry(3)])[:-1],
    ],
    ids=[
        "empty",
        "invalid-byte",
        "map",
        "row-is-number",
        "short-row",
        "ticket-zero",
        "ticket-bool",
        "document-is-array",
        "no-address",
        "other-name",
        "address-is-number",
        "path-is-number",
        "ratio-is-text",
        "ratio-is-nan",
        "field-is-bytes",
        "cut-off",
    ],
)
def test_invalid_bytes_are_rejected_with_a_code(data: bytes) -> None:
    with pytest.raises(InvalidEntryError) as caught:
        decode_entries(data)

    assert caught.value.code == "invalid_entry"


@settings(max_examples=300)
@given(position=st.integers(min_value=0), byte=st.integers(min_value=0, max_value=255))
def test_any_changed_byte_is_decoded_or_rejected(position: int, byte: int) -> None:
    entries = [
        service_entry(3),
        tombstone(4, name="boletin"),
        backend_server_entry(5, name="h-1"),
    ]
    data = bytearray(encode_entries(entries))
    data[position % len(data)] = byte

    with contextlib.suppress(InvalidEntryError):
        decoded = decode_entries(bytes(data))
        assert decode_entries(encode_entries(decoded)) == decoded
