"""Messages between balancers and agents."""

from __future__ import annotations

from oleanderweir.peering.messages.confirmation import Confirmation
from oleanderweir.peering.messages.delivery import Delivery
from oleanderweir.peering.messages.delivery import DeliveryPurpose
from oleanderweir.peering.messages.departure import Departure
from oleanderweir.peering.messages.heartbeat import Heartbeat
from oleanderweir.peering.messages.heartbeat import PeerRole
from oleanderweir.peering.messages.load_report import LoadReport
from oleanderweir.peering.messages.owner_notice import OwnerNotice
from oleanderweir.peering.messages.returned_packet import ReturnedPacket
from oleanderweir.peering.messages.returned_packet import ReturnReason
from oleanderweir.peering.messages.state_update import StateUpdate


Message = (
    Confirmation
    | Delivery
    | Departure
    | Heartbeat
    | LoadReport
    | OwnerNotice
    | ReturnedPacket
    | StateUpdate
)

__all__ = [
    "Confirmation",
    "Delivery",
    "DeliveryPurpose",
    "Departure",
    "Heartbeat",
    "LoadReport",
    "Message",
    "OwnerNotice",
    "PeerRole",
    "ReturnReason",
    "ReturnedPacket",
    "StateUpdate",
]
