"""QUIC and HTTP/3 connections with callers."""

from __future__ import annotations

from oleanderweir_agent.quic.agent_choice import AgentChoice
from oleanderweir_agent.quic.agent_choice import AgentChooser
from oleanderweir_agent.quic.connection_id_issuer import ConnectionIdIssuer
from oleanderweir_agent.quic.packet_endpoint import PacketEndpoint
from oleanderweir_agent.quic.retry_token_codec import RetryTokenCodec


__all__ = [
    "AgentChoice",
    "AgentChooser",
    "ConnectionIdIssuer",
    "PacketEndpoint",
    "RetryTokenCodec",
]
