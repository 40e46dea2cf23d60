"""Conversion between hello messages and instance records."""

from __future__ import annotations

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.membership import InstanceRecord
from oleanderweir.membership import InstanceRole
from oleanderweir.membership import InstanceState
from oleanderweir.net import SocketAddress
from oleanderweir.replication.exceptions import InvalidPeerMessageError
from oleanderweir.replication.messages import Hello


def make_hello(record: InstanceRecord, *, incarnation: str) -> Hello:
    """Return the hello message that describes an instance."""
    return Hello(
        name=record.name,
        incarnation=incarnation,
        role=record.role.value,
        region=record.region,
        availability_zone=record.availability_zone,
        peer_address=str(record.peer_address),
        data_address=str(record.data_address),
    )


def parse_hello(hello: Hello) -> InstanceRecord:
    """
    Return the instance that a hello describes.

    Raise ``InvalidPeerMessageError`` if a field of the hello is invalid.
    """
    try:
        return InstanceRecord(
            name=hello.name,
            role=InstanceRole(hello.role),
            region=hello.region,
            availability_zone=hello.availability_zone,
            peer_address=SocketAddress.parse(hello.peer_address),
            data_address=SocketAddress.parse(hello.data_address),
            state=InstanceState.LIVE,
        )
    except (OleanderweirError, ValueError) as error:
        raise InvalidPeerMessageError(
            f"the hello of '{hello.name}' has an invalid field ({error}); "
            "run one version on all instances"
        ) from error
