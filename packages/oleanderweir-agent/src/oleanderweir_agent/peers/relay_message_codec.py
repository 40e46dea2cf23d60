"""Encoding of messages between the agents of a service."""

from __future__ import annotations

from typing import get_args

import msgpack
from cattrs.preconf.msgpack import make_converter

from oleanderweir_agent.peers.exceptions import InvalidRelayMessageError
from oleanderweir_agent.peers.messages import RelayMessage


MESSAGE_TYPES: tuple[type[RelayMessage], ...] = get_args(RelayMessage)


class RelayMessageCodec:
    """Encodes and decodes messages as msgpack; unknown fields are ignored."""

    def __init__(self) -> None:
        self.converter = make_converter()
        self.types_by_number = dict(enumerate(MESSAGE_TYPES))
        self.numbers_by_type = {
            message_type: number
            for number, message_type in self.types_by_number.items()
        }

    def encode(self, message: RelayMessage) -> bytes:
        """Encode a message as the number of its type and its fields."""
        message_type = type(message)
        fields = self.converter.unstructure(message)
        encoded: bytes = msgpack.packb((self.numbers_by_type[message_type], fields))
        return encoded

    def decode(self, data: bytes) -> RelayMessage:
        """Decode a message; raise ``InvalidRelayMessageError`` if it is malformed."""
        try:
            number, fields = msgpack.unpackb(data)
            message_type = self.types_by_number[number]
            message: RelayMessage = self.converter.structure(fields, message_type)
        except Exception as error:
            # The type of the converter's exceptions depends on the malformed field.
            raise InvalidRelayMessageError(
                "cannot decode a message of a peer agent; run one version on all "
                "instances"
            ) from error
        return message
