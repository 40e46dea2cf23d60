"""Replication of tickets between the processes of the system."""

from __future__ import annotations

from oleanderweir.replication.control_budget import ControlBudget
from oleanderweir.replication.exceptions import InvalidPeerCredentialsError
from oleanderweir.replication.exceptions import InvalidPeerMessageError
from oleanderweir.replication.exceptions import PeerClosedError
from oleanderweir.replication.exceptions import PeerMessageTooLargeError
from oleanderweir.replication.exceptions import PeerUnavailableError
from oleanderweir.replication.grpc_peer_transport import GrpcPeerTransport
from oleanderweir.replication.peer_credentials import PeerCredentials
from oleanderweir.replication.peer_message_codec import PeerMessageCodec
from oleanderweir.replication.peer_stream import PeerStream
from oleanderweir.replication.peer_transport import PeerTransport
from oleanderweir.replication.replication_settings import ReplicationSettings
from oleanderweir.replication.replicator import Replicator
from oleanderweir.replication.stream_service import StreamService
from oleanderweir.replication.ticket_source import TicketSource


__all__ = [
    "ControlBudget",
    "GrpcPeerTransport",
    "InvalidPeerCredentialsError",
    "InvalidPeerMessageError",
    "PeerClosedError",
    "PeerCredentials",
    "PeerMessageCodec",
    "PeerMessageTooLargeError",
    "PeerStream",
    "PeerTransport",
    "PeerUnavailableError",
    "Replicator",
    "ReplicationSettings",
    "StreamService",
    "TicketSource",
]
