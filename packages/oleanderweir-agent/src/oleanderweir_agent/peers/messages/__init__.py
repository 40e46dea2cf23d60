"""Messages between the agents of a service."""

from __future__ import annotations

from oleanderweir_agent.peers.messages.body_part import BodyPart
from oleanderweir_agent.peers.messages.offer import Offer
from oleanderweir_agent.peers.messages.rejection import Rejection
from oleanderweir_agent.peers.messages.relay_failure import RelayFailure
from oleanderweir_agent.peers.messages.relay_response_end import RelayResponseEnd
from oleanderweir_agent.peers.messages.relay_response_head import RelayResponseHead


RelayMessage = (
    Offer | Rejection | RelayResponseHead | BodyPart | RelayResponseEnd | RelayFailure
)

__all__ = [
    "RelayResponseEnd",
    "RelayResponseHead",
    "BodyPart",
    "Offer",
    "Rejection",
    "RelayFailure",
    "RelayMessage",
]
