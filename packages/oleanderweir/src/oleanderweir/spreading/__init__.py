"""Reading, pushing and repairing tickets between the processes of the system."""

from __future__ import annotations

from oleanderweir.spreading.control_budget import ControlBudget
from oleanderweir.spreading.exceptions import InvalidPeerCredentialsError
from oleanderweir.spreading.exceptions import InvalidPeerMessageError
from oleanderweir.spreading.exceptions import PeerClosedError
from oleanderweir.spreading.exceptions import PeerMessageTooLargeError
from oleanderweir.spreading.exceptions import PeerUnavailableError
from oleanderweir.spreading.grpc_peer_transport import GrpcPeerTransport
from oleanderweir.spreading.peer_credentials import PeerCredentials
from oleanderweir.spreading.peer_message_codec import PeerMessageCodec
from oleanderweir.spreading.peer_stream import PeerStream
from oleanderweir.spreading.peer_transport import PeerTransport
from oleanderweir.spreading.spreader import Spreader
from oleanderweir.spreading.spreading_settings import SpreadingSettings
from oleanderweir.spreading.stream_service import StreamService
from oleanderweir.spreading.ticket_source import TicketSource


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
    "Spreader",
    "SpreadingSettings",
    "StreamService",
    "TicketSource",
]
