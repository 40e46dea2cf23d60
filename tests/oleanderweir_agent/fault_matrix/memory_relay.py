from __future__ import annotations

import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.replication import PeerUnavailableError
from oleanderweir_agent.peers.messages import AnswerEnd
from oleanderweir_agent.peers.messages import AnswerHead
from oleanderweir_agent.peers.messages import BodyPart
from oleanderweir_agent.peers.messages import Offer
from oleanderweir_agent.peers.relay_message_codec import RelayMessageCodec
from tests.oleanderweir_agent.fault_matrix.fault import Fault
from tests.oleanderweir_agent.fault_matrix.memory_relay_stream import MemoryRelayStream
from tests.oleanderweir_agent.fault_matrix.step import Step


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from oleanderweir.net import SocketAddress
    from oleanderweir.replication import PeerStream
    from tests.oleanderweir_agent.fault_matrix.world import World


CONNECT_TIMEOUT_S = 0.5
STEPS = {
    Offer: Step.OFFER_SENT,
    AnswerHead: Step.RELAYED_HEAD,
    BodyPart: Step.RELAYED_BODY,
    AnswerEnd: Step.RELAYED_END,
}


@attrs.define(kw_only=True, eq=False)
class MemoryRelay:
    """Joins two agents by channels, with the faults of the script on the way."""

    world: World
    peer: str
    codec: RelayMessageCodec = attrs.field(factory=RelayMessageCodec)

    @asynccontextmanager
    async def connect(self, address: SocketAddress) -> AsyncIterator[PeerStream]:
        fault = self.world.script.take(Step.OFFERING)
        if fault in {Fault.KILL, Fault.RESET}:
            raise PeerUnavailableError("refused")
        if fault in {Fault.CUT, Fault.FREEZE, Fault.LATE}:
            await trio.sleep(CONNECT_TIMEOUT_S)
            raise PeerUnavailableError("no answer in time")
        await self.world.go_through(fault, agent=self.peer)
        link = MemoryRelayLink(world=self.world, peer=self.peer, codec=self.codec)
        self.world.nursery.start_soon(link.serve)
        try:
            yield link.near
        finally:
            link.end()


@attrs.define(kw_only=True, eq=False)
class MemoryRelayLink:
    """One stream between two agents."""

    world: World
    peer: str
    codec: RelayMessageCodec
    near: MemoryRelayStream = attrs.field(init=False)
    far: MemoryRelayStream = attrs.field(init=False)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_cut: bool = False

    def __attrs_post_init__(self) -> None:
        to_peer, at_peer = trio.open_memory_channel[bytes](math.inf)
        to_offerer, at_offerer = trio.open_memory_channel[bytes](math.inf)
        self.near = MemoryRelayStream(
            outgoing=to_peer, incoming=at_offerer, pass_on=self.pass_on
        )
        self.far = MemoryRelayStream(
            outgoing=to_offerer, incoming=at_peer, pass_on=self.pass_on
        )

    async def serve(self) -> None:
        """Run the peer's side until the stream is reset."""
        with self.scope:
            await self.world.agents[self.peer].relay_server.serve(self.far)
        self.far.close()

    def end(self) -> None:
        """Reset the stream, which the peer only learns if the way is not cut."""
        self.near.close()
        if not self.is_cut:
            self.scope.cancel()

    async def pass_on(self, data: bytes) -> list[bytes]:
        """Return what arrives of a message."""
        message = self.codec.decode(data)
        if isinstance(message, Offer):
            arriving = await self.strike(Step.OFFER_SENT, [data])
            self.world.nursery.start_soon(self.strike_taken)
            return arriving
        step = STEPS.get(type(message))
        if step is None or (step is Step.RELAYED_BODY and not self.world.has_run):
            return [data]
        return await self.strike(step, [data])

    async def strike_taken(self) -> None:
        """Let the fault strike that comes while the peer runs the request."""
        await self.world.run_begun.wait()
        await self.strike(Step.TAKEN, [])

    async def strike(self, step: Step, arriving: list[bytes]) -> list[bytes]:
        fault = self.world.script.take(step)
        if self.is_cut or fault is Fault.CUT:
            self.is_cut = True
            return []
        if fault in {Fault.KILL, Fault.RESET}:
            self.near.close()
            self.far.close()
            if fault is Fault.KILL:
                self.scope.cancel()
            return []
        if fault is Fault.DUPLICATE:
            return arriving * 2
        await self.world.go_through(fault, agent=self.peer)
        return arriving
