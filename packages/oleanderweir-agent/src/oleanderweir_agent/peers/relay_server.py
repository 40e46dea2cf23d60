"""Accepts or rejects the requests that peer agents offer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from oleanderweir.exceptions import OleanderweirError
from oleanderweir_agent.peers.exceptions import InvalidRelayMessageError
from oleanderweir_agent.peers.messages import BodyPart
from oleanderweir_agent.peers.messages import Offer
from oleanderweir_agent.peers.messages import Rejection
from oleanderweir_agent.peers.messages import RelayFailure
from oleanderweir_agent.peers.messages import RelayResponseEnd
from oleanderweir_agent.peers.messages import RelayResponseHead
from oleanderweir_agent.peers.relay_stream import RelayStream
from oleanderweir_agent.queueing import WorkRequest
from oleanderweir_agent.requests import Request
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestRejectedError


if TYPE_CHECKING:
    from oleanderweir.replication import PeerStream
    from oleanderweir_agent.peers.relay_message_codec import RelayMessageCodec
    from oleanderweir_agent.requests import ResponseHead
    from oleanderweir_agent.requests.local_runner import LocalRunner


MAX_BODY_BYTES = 1024 * 1024
BODY_TIMEOUT_S = 2.0


class RelayServer:
    """
    Runs offered requests at the local backend server.

    An offered request is not relayed again, so it passes through at most two agents.
    """

    def __init__(
        self, *, service_name: str, runner: LocalRunner, codec: RelayMessageCodec
    ) -> None:
        self.service_name = service_name
        self.runner = runner
        self.codec = codec

    async def serve(self, stream: PeerStream) -> None:
        """Serve one offer."""
        relay = RelayStream(stream=stream, codec=self.codec)
        try:
            with trio.fail_after(BODY_TIMEOUT_S):
                offer = await self._receive_offer(relay)
                body = await self._receive_body(relay, offer)
            await self._run_offer(relay, offer, body)
        except (OleanderweirError, trio.TooSlowError):
            # The offering agent derives the verdict from the closed stream.
            return

    async def _receive_offer(self, relay: RelayStream) -> Offer:
        """Return the offer that starts a stream."""
        message = await relay.receive()
        if not isinstance(message, Offer) or message.body_bytes > MAX_BODY_BYTES:
            raise InvalidRelayMessageError(
                f"expected an offer with a body of at most {MAX_BODY_BYTES} bytes, got "
                f"{type(message).__name__}"
            )
        return message

    async def _receive_body(self, relay: RelayStream, offer: Offer) -> bytes:
        """Return the complete body of an offered request."""
        body = bytearray()
        while len(body) < offer.body_bytes:
            message = await relay.receive()
            if not isinstance(message, BodyPart):
                raise InvalidRelayMessageError(
                    f"body truncated: got {len(body)} of {offer.body_bytes} bytes"
                )
            body += message.data
        if len(body) > offer.body_bytes:
            raise InvalidRelayMessageError(
                f"body too long: got {len(body)} bytes, expected {offer.body_bytes}"
            )
        return bytes(body)

    async def _run_offer(self, relay: RelayStream, offer: Offer, body: bytes) -> None:
        """Run an offered request, and send its rejection or failure if there is one."""
        try:
            if offer.service != self.service_name:
                raise RequestRejectedError(
                    reason=RejectionReason.PEER_REFUSED,
                    message=(
                        f"the offer is for service {offer.service}, but this agent "
                        f"serves {self.service_name}"
                    ),
                )
            await self._run(_make_request(offer, body), offer, relay)
        except RequestRejectedError as error:
            await relay.send(
                Rejection(reason=error.reason.value, retry_after_s=error.retry_after_s)
            )
        except RequestFailedError as error:
            await relay.send(RelayFailure(reason=error.reason.value))

    async def _run(self, request: Request, offer: Offer, relay: RelayStream) -> None:
        """Run a request at the local backend server."""
        responder = RelayResponder(relay=relay)
        if request.is_feed:
            await self.runner.run_feed(request, responder)
            return
        work = WorkRequest(
            method=request.method,
            path=request.path,
            deadline=request.deadline,
            is_relayed=True,
            max_wait_s=math.inf if offer.max_wait_s is None else offer.max_wait_s,
        )
        await self.runner.run_work(request, responder, work)


class RelayResponder:
    """Sends a response to the agent that offered the request."""

    def __init__(self, *, relay: RelayStream) -> None:
        self.relay = relay
        self.is_head_sent = False

    async def send_head(self, head: ResponseHead) -> None:
        """Send the status and header fields."""
        self.is_head_sent = True
        await self.relay.send(
            RelayResponseHead(status=head.status, headers=head.headers)
        )

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body; wait while flow control blocks the stream."""
        await self.relay.send(BodyPart(data=data))

    async def finish(self) -> None:
        """Complete the response."""
        await self.relay.send(RelayResponseEnd())

    def reset(self) -> None:
        """Send nothing: the missing ``RelayResponseEnd`` marks it as truncated."""

    def reset_rejected(self) -> None:
        """Send nothing: the relay server sends a ``Rejection``."""


def _make_request(offer: Offer, body: bytes) -> Request:
    """Return the request of an offer; its deadline is in this agent's trio time."""
    now = trio.current_time()
    return Request(
        request_id=offer.request_id,
        method=offer.method,
        path=offer.path,
        headers=offer.headers,
        body=body,
        arrived_at=now,
        deadline=math.inf if offer.timeout_s is None else now + offer.timeout_s,
        is_feed=offer.is_feed,
    )
