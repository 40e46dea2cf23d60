from __future__ import annotations

import contextlib

import msgpack
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from oleanderweir_agent.peers.exceptions import InvalidRelayMessageError
from oleanderweir_agent.peers.messages import BodyPart
from oleanderweir_agent.peers.messages import Offer
from oleanderweir_agent.peers.messages import Rejection
from oleanderweir_agent.peers.messages import RelayFailure
from oleanderweir_agent.peers.messages import RelayMessage
from oleanderweir_agent.peers.messages import RelayResponseEnd
from oleanderweir_agent.peers.messages import RelayResponseHead
from oleanderweir_agent.peers.relay_message_codec import RelayMessageCodec
from oleanderweir_agent.requests import Header


HEADERS = (Header(name=b"x-name", value=b"\xff\x00"),)
MESSAGES: list[RelayMessage] = [
    Offer(
        service="items",
        request_id="r1",
        method="POST",
        path="/reports",
        headers=HEADERS,
        body_bytes=3,
        timeout_s=1.5,
        max_wait_s=None,
        is_feed=False,
    ),
    Rejection(reason="draining", retry_after_s=None),
    RelayResponseHead(status=200, headers=HEADERS),
    BodyPart(data=b"\x00\xff"),
    RelayResponseEnd(),
    RelayFailure(reason="backend_lost"),
]
PLAIN_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-100, 100) | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


@pytest.mark.parametrize(
    "message", MESSAGES, ids=lambda message: type(message).__name__
)
def test_every_message_round_trips(message: RelayMessage) -> None:
    codec = RelayMessageCodec()

    assert codec.decode(codec.encode(message)) == message


@settings(max_examples=100)
@given(st.binary(max_size=64))
def test_arbitrary_bytes_decode_or_raise_invalid_relay_message(data: bytes) -> None:
    with contextlib.suppress(InvalidRelayMessageError):
        assert isinstance(RelayMessageCodec().decode(data), RelayMessage)


@settings(max_examples=100)
@given(PLAIN_VALUES)
def test_arbitrary_content_decodes_or_raises_invalid_relay_message(
    content: object,
) -> None:
    with contextlib.suppress(InvalidRelayMessageError):
        assert isinstance(
            RelayMessageCodec().decode(msgpack.packb(content)), RelayMessage
        )


@pytest.mark.parametrize("number", [-1, -2, 6, 99, None, "0"])
def test_an_unknown_message_type_is_rejected(number: object) -> None:
    with pytest.raises(InvalidRelayMessageError):
        RelayMessageCodec().decode(msgpack.packb((number, {})))
