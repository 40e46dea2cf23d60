"""Messages and published state exchanged between balancers and agents."""

from __future__ import annotations

from oleanderweir.peering.exceptions import InvalidMessageError
from oleanderweir.peering.exceptions import PeerUnavailableError
from oleanderweir.peering.heartbeat_sender import HeartbeatSender
from oleanderweir.peering.members import Member
from oleanderweir.peering.members import Members
from oleanderweir.peering.message_codec import decode_message
from oleanderweir.peering.message_codec import encode_message
from oleanderweir.peering.state_exchange import StateClient
from oleanderweir.peering.state_exchange import StateServer
from oleanderweir.peering.state_synchronizer import StateSynchronizer


__all__ = [
    "HeartbeatSender",
    "InvalidMessageError",
    "Member",
    "Members",
    "PeerUnavailableError",
    "StateClient",
    "StateServer",
    "StateSynchronizer",
    "decode_message",
    "encode_message",
]
