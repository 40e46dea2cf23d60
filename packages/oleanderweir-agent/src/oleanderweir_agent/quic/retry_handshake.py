"""The Retry that binds a new flow to one agent (RFC 9000, 8.1.2)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioquic.quic.packet import encode_quic_retry

from oleanderweir_agent.quic.exceptions import InvalidRetryTokenError
from oleanderweir_agent.quic.retry_token import RetryToken


if TYPE_CHECKING:
    from aioquic.quic.packet import QuicHeader

    from oleanderweir.envelope import Envelope
    from oleanderweir_agent.quic.agent_choice import AgentChooser
    from oleanderweir_agent.quic.connection_id_issuer import ConnectionIdIssuer
    from oleanderweir_agent.quic.retry_token_codec import RetryTokenCodec


class RetryHandshake:
    """
    Answers the first packet of a flow, and checks what comes back.

    The Retry's connection ID names the chosen agent, its token proves to that agent
    that the caller's address is real. ``version`` is the QUIC version of the packets.
    """

    def __init__(
        self,
        *,
        version: int,
        token_codec: RetryTokenCodec,
        issuer: ConnectionIdIssuer,
        chooser: AgentChooser,
    ) -> None:
        self.version = version
        self.token_codec = token_codec
        self.issuer = issuer
        self.chooser = chooser

    def make_packet(self, header: QuicHeader, envelope: Envelope) -> bytes:
        """Return the Retry to a first packet."""
        choice = self.chooser.choose()
        retry_cid = self.issuer.issue_for(
            choice.address.packed, choice.incarnation, envelope.service
        )
        token = RetryToken(
            caller=envelope.caller,
            service=envelope.service,
            original_destination_connection_id=header.destination_cid,
            retry_source_connection_id=retry_cid,
            issued_at_ms=self.token_codec.now_ms(),
        )
        return encode_quic_retry(
            version=self.version,
            source_cid=retry_cid,
            destination_cid=header.source_cid,
            original_destination_cid=header.destination_cid,
            retry_token=self.token_codec.encode(token),
        )

    def check_token(self, header: QuicHeader, envelope: Envelope) -> RetryToken:
        """Read a token; raise ``InvalidRetryTokenError`` unless it fits the packet."""
        token = self.token_codec.decode(header.token)
        if token.caller != envelope.caller or token.service != envelope.service:
            raise InvalidRetryTokenError("the token was given to another caller")
        if token.retry_source_connection_id != header.destination_cid:
            raise InvalidRetryTokenError("the token belongs to another connection ID")
        return token
