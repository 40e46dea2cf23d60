from __future__ import annotations

import contextlib

import attrs
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderweir.desired_state import make_position
from oleanderweir.flows import FlowKey
from oleanderweir.peering import InvalidMessageError
from oleanderweir.peering import decode_message
from oleanderweir.peering import encode_message
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import LoadReport
from oleanderweir.peering.messages import Message
from oleanderweir.peering.messages import OwnerNotice
from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from oleanderweir.peering.messages import StateUpdate
from oleanderweir.peering.packing import unpack
from tests.oleanderweir.peering.heartbeat_bench import make_confirmation


HEARTBEAT = Heartbeat(
    role=PeerRole.AGENT,
    availability_zone="a",
    service="feed",
    desired_version=4,
    backends_revision=5,
    balancers=("10.0.0.1",),
    agents=(),
    requests_reply=True,
    reads_source=False,
)
MESSAGES: list[Message] = [
    Delivery(purpose=DeliveryPurpose.QUERY, version=3, data=b"packet"),
    Delivery(
        purpose=DeliveryPurpose.DELEGATED_LOOKUP,
        version=3,
        data=b"packet",
        hosts=("10.0.0.1", "10.0.0.2"),
    ),
    ReturnedPacket(reason=ReturnReason.DRAINING, data=b"packet"),
    OwnerNotice(key=FlowKey(b"123456789012")),
    LoadReport(
        service="feed",
        busy=2,
        flows=30,
        busy_mean=1.5,
        service_ms=50.5,
        is_accepting=True,
    ),
    HEARTBEAT,
    attrs.evolve(HEARTBEAT, evacuations_revision=make_position(history=3, revision=7)),
    make_confirmation(desired_version=4, relay_from=1, relay_to=2),
    make_confirmation(evacuations_revision=make_position(history=3, revision=7)),
]


@pytest.mark.parametrize(
    "message", MESSAGES, ids=lambda message: type(message).__name__
)
def test_messages_round_trip(message: Message) -> None:
    assert decode_message(encode_message(message)) == message


def test_a_delivery_that_names_no_hosts_has_the_fields_of_earlier_states() -> None:
    message = Delivery(purpose=DeliveryPurpose.QUERY, version=3, data=b"packet")

    assert unpack(encode_message(message)) == [1, 3, 3, b"packet"]


def test_messages_without_an_evacuation_have_the_fields_of_earlier_states() -> None:
    heartbeat = unpack(encode_message(HEARTBEAT))
    confirmation = unpack(encode_message(make_confirmation()))

    assert (len(heartbeat), len(confirmation)) == (11, 7)


@given(st.binary(max_size=64))
def test_an_arbitrary_datagram_is_a_message_or_is_rejected(datagram: bytes) -> None:
    with contextlib.suppress(InvalidMessageError):
        assert isinstance(decode_message(datagram), Message)


def test_an_invalid_datagram_has_an_error_code() -> None:
    with pytest.raises(InvalidMessageError, match="same version") as raised:
        decode_message(b"no message")

    assert raised.value.code == "invalid_peer_message"


@pytest.mark.parametrize("history", [2**24 - 1, 2**24, 2**41])
def test_a_position_of_any_history_fits_a_message(history: int) -> None:
    position = make_position(history=history, revision=7)
    messages: list[Message] = [
        attrs.evolve(HEARTBEAT, backends_revision=position),
        StateUpdate(base=position, revision=position + 1, name="b1", document=b"{}"),
    ]

    assert [decode_message(encode_message(m)) for m in messages] == messages


def test_a_version_of_any_size_fits_a_message() -> None:
    heartbeat = attrs.evolve(HEARTBEAT, desired_version=2**64)

    assert decode_message(encode_message(heartbeat)) == heartbeat


ODD_VALUES = [
    None,
    -1,
    1.5,
    float("nan"),
    float("inf"),
    True,
    "text",
    "x" * 300,
    b"bytes",
    ["10.0.0.1", 7],
    ["name.example"],
    {"deep": {}},
    msgpack.ExtType(1, b""),
    msgpack.ExtType(2, b""),
    msgpack.Timestamp(1, 2),
]


@pytest.mark.parametrize(
    "message", MESSAGES, ids=lambda message: type(message).__name__
)
@pytest.mark.parametrize("odd", ODD_VALUES, ids=lambda value: repr(value)[:30])
def test_an_odd_field_is_rejected_or_has_the_type_of_its_message(
    message: Message, odd: object
) -> None:
    values = unpack(encode_message(message))
    for index in range(1, len(values)):
        data = msgpack.packb([*values[:index], odd, *values[index + 1 :]])
        with contextlib.suppress(InvalidMessageError):
            decoded = decode_message(data)
            # What is accepted can be sent on as it is.
            assert decode_message(encode_message(decoded)) == decoded


def test_a_host_name_is_no_host() -> None:
    # Sending to it would wait for its lookup.
    notice = OwnerNotice(key=FlowKey(b"123456789012"), host="name.example")

    with pytest.raises(InvalidMessageError):
        decode_message(encode_message(notice))


def test_a_deeply_nested_datagram_is_rejected() -> None:
    with pytest.raises(InvalidMessageError):
        decode_message(b"\x91" * 60_000)
