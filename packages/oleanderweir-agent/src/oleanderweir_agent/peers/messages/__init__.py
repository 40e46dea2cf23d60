"""Messages between the agents of a service."""

from __future__ import annotations

from oleanderweir_agent.peers.messages.answer_end import AnswerEnd
from oleanderweir_agent.peers.messages.answer_head import AnswerHead
from oleanderweir_agent.peers.messages.body_part import BodyPart
from oleanderweir_agent.peers.messages.offer import Offer
from oleanderweir_agent.peers.messages.refusal import Refusal
from oleanderweir_agent.peers.messages.relay_failure import RelayFailure


RelayMessage = Offer | Refusal | AnswerHead | BodyPart | AnswerEnd | RelayFailure

__all__ = [
    "AnswerEnd",
    "AnswerHead",
    "BodyPart",
    "Offer",
    "Refusal",
    "RelayFailure",
    "RelayMessage",
]
