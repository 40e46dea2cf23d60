"""Offers requests to peer agents."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from oleanderweir.replication import PeerClosedError
from oleanderweir.replication import PeerUnavailableError
from oleanderweir_agent.peers.exceptions import InvalidRelayMessageError
from oleanderweir_agent.peers.messages import BodyPart
from oleanderweir_agent.peers.messages import Offer
from oleanderweir_agent.peers.messages import Rejection
from oleanderweir_agent.peers.messages import RelayResponseEnd
from oleanderweir_agent.peers.messages import RelayResponseHead
from oleanderweir_agent.peers.relay_stream import RelayStream
from oleanderweir_agent.requests import ResponseHead
from oleanderweir_agent.verdicts import FailureReason
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from oleanderweir.configuration import ConfigurationView
    from oleanderweir.net import SocketAddress
    from oleanderweir_agent.peers.messages import RelayMessage
    from oleanderweir_agent.peers.relay_connector import RelayConnector
    from oleanderweir_agent.peers.relay_message_codec import RelayMessageCodec
    from oleanderweir_agent.requests import Request
    from oleanderweir_agent.requests import Responder


BODY_PART_BYTES = 64 * 1024
FEED_RESPONSE_TIMEOUT_S = 3.0


class RelayClient:
    """
    Sends a request to a peer and forwards the response.

    Before the first byte of the offer is written, the request cannot have run. After
    that, only a rejection by the peer proves that it did not run.
    """

    def __init__(
        self,
        *,
        service_name: str,
        configuration: ConfigurationView,
        connector: RelayConnector,
        codec: RelayMessageCodec,
    ) -> None:
        self.service_name = service_name
        self.configuration = configuration
        self.connector = connector
        self.codec = codec

    async def offer(
        self,
        *,
        peer: str,
        request: Request,
        responder: Responder,
        max_wait_s: float,
    ) -> None:
        """
        Offer a request to a peer, and forward its response to ``responder``.

        Raise ``RequestRejectedError`` if the peer rejected the offer or was not
        reached, and ``RequestFailedError`` if the peer may have accepted the offer
        and did not complete the response.
        """
        address = self._peer_address(peer)
        is_offered = False
        with trio.move_on_at(request.deadline):
            try:
                async with self.connector.connect(address) as stream:
                    relay = RelayStream(stream=stream, codec=self.codec)
                    is_offered = True
                    await self._send_offer(relay, request, max_wait_s)
                    await self._forward_response(relay, request, responder)
            except PeerUnavailableError as error:
                raise _rejected(error.message) from error
            except (PeerClosedError, InvalidRelayMessageError) as error:
                raise _peer_lost(error.message) from error
            return
        if is_offered:
            raise RequestFailedError(
                reason=FailureReason.DEADLINE_EXCEEDED,
                message="the deadline passed at a peer; set a longer timeout",
            )
        raise _rejected("the deadline passed before the peer was reached")

    def _peer_address(self, peer: str) -> SocketAddress:
        """Return the address at which a peer accepts offers."""
        for server in self.configuration.backend_servers(self.service_name):
            if server.name == peer:
                return server.peer_address
        raise _rejected(f"backend server {peer} is not in any ticket in force")

    async def _send_offer(
        self, relay: RelayStream, request: Request, max_wait_s: float
    ) -> None:
        """Send the offer of a request, followed by its body."""
        remaining_s = request.deadline - trio.current_time()
        await relay.send(
            Offer(
                service=self.service_name,
                request_id=request.request_id,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body_bytes=len(request.body),
                timeout_s=None if math.isinf(remaining_s) else remaining_s,
                max_wait_s=None if math.isinf(max_wait_s) else max_wait_s,
                is_feed=request.is_feed,
            )
        )
        for start in range(0, len(request.body), BODY_PART_BYTES):
            part = request.body[start : start + BODY_PART_BYTES]
            await relay.send(BodyPart(data=part))

    async def _forward_response(
        self, relay: RelayStream, request: Request, responder: Responder
    ) -> None:
        """Forward the response of a peer that accepted the offer."""
        head = await self._receive_first_message(relay, request)
        if isinstance(head, Rejection):
            raise _rejected(
                f"the peer rejected the offer ({head.reason})", head.retry_after_s
            )
        if not isinstance(head, RelayResponseHead):
            raise _peer_lost(
                f"expected a response head from the peer, got {type(head).__name__}"
            )
        await responder.send_head(
            ResponseHead(status=head.status, headers=head.headers)
        )
        while True:
            message = await relay.receive()
            if isinstance(message, RelayResponseEnd):
                await responder.finish()
                return
            if not isinstance(message, BodyPart):
                raise _peer_lost(
                    f"expected a body part from the peer, got {type(message).__name__}"
                )
            await responder.send_data(message.data)

    async def _receive_first_message(
        self, relay: RelayStream, request: Request
    ) -> RelayMessage:
        """
        Return the first message of a peer.

        A feed must start within ``FEED_RESPONSE_TIMEOUT_S``, since it has no deadline.
        """
        if not request.is_feed:
            return await relay.receive()
        with trio.move_on_after(FEED_RESPONSE_TIMEOUT_S):
            return await relay.receive()
        raise _peer_lost(
            f"the peer did not start the feed within {FEED_RESPONSE_TIMEOUT_S} s"
        )


def _rejected(message: str, retry_after_s: float | None = None) -> RequestRejectedError:
    return RequestRejectedError(
        reason=RejectionReason.PEER_REFUSED,
        message=message,
        retry_after_s=retry_after_s,
    )


def _peer_lost(message: str) -> RequestFailedError:
    return RequestFailedError(reason=FailureReason.PEER_LOST, message=message)
