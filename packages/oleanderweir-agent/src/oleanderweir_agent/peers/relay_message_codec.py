"""Encoding of messages between the agents of a service."""

from __future__ import annotations

from typing import get_args

import msgpack
from cattrs.preconf.msgpack import make_converter

from oleanderweir_agent.peers.exceptions import InvalidRelayMessageError
from oleanderweir_agent.peers.messages import RelayMessage


MESSAGE_TYPES: tuple[type[RelayMessage], ...] = get_args(RelayMessage)


class RelayMessageCodec:
    """Writes messages as msgpack; unknown fields are passed over."""

    def __init__(self) -> None:
        self.converter = make_converter()
        self.types_by_number = dict(enumerate(MESSAGE_TYPES))
        self.numbers_by_type = {
            message_type: number
            for number, message_type in self.types_by_number.items()
        }

    def encode(self, message: RelayMessage) -> bytes:
        """Return the bytes of a message."""
        message_type = type(message)
        fields = self.converter.unstructure(message)
        encoded: bytes = msgpack.packb((self.numbers_by_type[message_type], fields))
        return encoded

    def decode(self, data: bytes) -> RelayMessage:
        """Read a message; raise ``InvalidRelayMessageError``."""
        try:
            number, fields = msgpack.unpackb(data)
            message_type = self.types_by_number[number]
            message: RelayMessage = self.converter.structure(fields, message_type)
        except Exception as error:
            # The converter raises what the fields provoke; all mean one thing here.
            raise InvalidRelayMessageError(
                "a peer agent sent bytes that are no message; run one version on all "
                "instances"
            ) from error
        return message
