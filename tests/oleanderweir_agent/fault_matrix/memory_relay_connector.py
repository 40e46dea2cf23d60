from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.replication import PeerUnavailableError
from oleanderweir_agent.peers.messages import BodyPart
from oleanderweir_agent.peers.messages import Offer
from oleanderweir_agent.peers.messages import RelayResponseEnd
from oleanderweir_agent.peers.messages import RelayResponseHead
from oleanderweir_agent.peers.relay_message_codec import RelayMessageCodec
from tests.oleanderweir_agent.fault_matrix.fault import Fault
from tests.oleanderweir_agent.fault_matrix.memory_relay_stream import MemoryRelayStream
from tests.oleanderweir_agent.fault_matrix.step import Step


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from oleanderweir.net import SocketAddress
    from oleanderweir.replication import PeerStream
    from tests.oleanderweir_agent.fault_matrix.cluster import Cluster


CONNECT_TIMEOUT_S = 0.5
STEPS = {
    Offer: Step.OFFER_SENT,
    RelayResponseHead: Step.RELAYED_HEAD,
    BodyPart: Step.RELAYED_BODY,
    RelayResponseEnd: Step.RELAYED_END,
}


@attrs.define(kw_only=True, eq=False)
class MemoryRelayConnector:
    """Connects agents through memory channels and injects the scripted faults."""

    cluster: Cluster
    peer: str
    codec: RelayMessageCodec = attrs.field(factory=RelayMessageCodec)

    @asynccontextmanager
    async def connect(self, address: SocketAddress) -> AsyncIterator[PeerStream]:
        fault = self.cluster.script.pop_fault(Step.OFFERING)
        if fault in {Fault.KILL, Fault.RESET}:
            raise PeerUnavailableError("connection refused")
        if fault in {Fault.CUT, Fault.FREEZE, Fault.LATE}:
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise PeerUnavailableError("connection attempt timed out")
        await self.cluster.apply_fault(fault, agent=self.peer)
        link = MemoryRelayLink(cluster=self.cluster, peer=self.peer, codec=self.codec)
        self.cluster.nursery.start_soon(link.serve)
        try:
            yield link.offerer_stream
        finally:
            link.close()


@attrs.define(kw_only=True, eq=False)
class MemoryRelayLink:
    """One stream between two agents."""

    cluster: Cluster
    peer: str
    codec: RelayMessageCodec
    offerer_stream: MemoryRelayStream = attrs.field(init=False)
    peer_stream: MemoryRelayStream = attrs.field(init=False)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_cut: bool = False

    def __attrs_post_init__(self) -> None:
        to_peer, from_offerer = trio.open_memory_channel[bytes](math.inf)
        to_offerer, from_peer = trio.open_memory_channel[bytes](math.inf)
        self.offerer_stream = MemoryRelayStream(
            outgoing=to_peer, incoming=from_peer, filter_message=self.filter_message
        )
        self.peer_stream = MemoryRelayStream(
            outgoing=to_offerer,
            incoming=from_offerer,
            filter_message=self.filter_message,
        )

    async def serve(self) -> None:
        """Run the peer's side until the stream is reset."""
        with self.scope:
            await self.cluster.agents[self.peer].relay_server.serve(self.peer_stream)
        self.peer_stream.close()

    def close(self) -> None:
        """Close the stream, and stop the peer's side unless the link is cut."""
        self.offerer_stream.close()
        if not self.is_cut:
            self.scope.cancel()

    async def filter_message(self, data: bytes) -> list[bytes]:
        """Return the messages that are delivered when ``data`` is sent."""
        message = self.codec.decode(data)
        if isinstance(message, Offer):
            delivered = await self.apply_step(Step.OFFER_SENT, [data])
            self.cluster.nursery.start_soon(self.apply_accepted_step)
            return delivered
        step = STEPS.get(type(message))
        if step is None or (step is Step.RELAYED_BODY and not self.cluster.has_run):
            return [data]
        return await self.apply_step(step, [data])

    async def apply_accepted_step(self) -> None:
        """Inject the fault scheduled for ``Step.ACCEPTED`` once the request runs."""
        await self.cluster.run_started.wait()
        await self.apply_step(Step.ACCEPTED, [])

    async def apply_step(self, step: Step, delivered: list[bytes]) -> list[bytes]:
        fault = self.cluster.script.pop_fault(step)
        if self.is_cut or fault is Fault.CUT:
            self.is_cut = True
            return []
        if fault in {Fault.KILL, Fault.RESET}:
            self.offerer_stream.close()
            self.peer_stream.close()
            if fault is Fault.KILL:
                self.scope.cancel()
            return []
        if fault is Fault.DUPLICATE:
            return delivered * 2
        await self.cluster.apply_fault(fault, agent=self.peer)
        return delivered
