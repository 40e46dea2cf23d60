"""The Retry that assigns a new flow to one agent (RFC 9000, 8.1.2)."""

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
    Creates Retry packets and validates the tokens that callers return.

    The connection ID of a Retry names the chosen agent. Its token proves to that
    agent that the caller receives packets at its address. ``version`` is the QUIC
    version of the Retry packets.
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
        """Return the Retry packet that replies to the opening packet of a flow."""
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
        """Return the token of a packet; raise ``InvalidRetryTokenError`` if invalid."""
        token = self.token_codec.decode(header.token)
        if token.caller != envelope.caller or token.service != envelope.service:
            raise InvalidRetryTokenError(
                "the Retry token was issued to another caller or service"
            )
        if token.retry_source_connection_id != header.destination_cid:
            raise InvalidRetryTokenError(
                "the Retry token was issued with another connection ID"
            )
        return token
