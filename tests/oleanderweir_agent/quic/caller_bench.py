"""The session of a caller with agents, without sockets."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

import trio
from aioquic.h3.connection import H3_ALPN
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import QuicEvent

from oleanderweir.connection_id import ConnectionIdCodec
from oleanderweir.connection_id import InvalidConnectionIdError
from oleanderweir.packets import LongHeader
from oleanderweir.packets import has_long_header
from tests.oleanderweir.helpers import make_key_ring
from tests.oleanderweir_agent.quic.agent_bench import BALANCER
from tests.oleanderweir_agent.quic.agent_bench import AgentBench
from tests.oleanderweir_agent.quic.connection_pair import AGENT


if TYPE_CHECKING:
    from aioquic.h3.events import H3Event

    from oleanderweir.envelope import Envelope


ROUNDS = 30
ROUND_S = 0.01


class CallerBench:
    """The session of a caller with one or more agents."""

    def __init__(self) -> None:
        self.quic = QuicConnection(
            configuration=QuicConfiguration(
                alpn_protocols=H3_ALPN, verify_mode=ssl.CERT_NONE
            )
        )
        self.quic.connect(AGENT, trio.current_time())
        self.h3 = H3Connection(self.quic)
        self.codec = ConnectionIdCodec(key_ring=make_key_ring())
        self.events: list[QuicEvent | H3Event] = []

    @property
    def is_terminated(self) -> bool:
        return any(isinstance(event, ConnectionTerminated) for event in self.events)

    @property
    def statuses(self) -> list[bytes]:
        """The status of each response received so far."""
        return [
            dict(event.headers)[b":status"]
            for event in self.events
            if isinstance(event, HeadersReceived)
        ]

    def datagrams(self) -> list[bytes]:
        """Return the packets that the caller sends now."""
        sent = self.quic.datagrams_to_send(trio.current_time())
        return [data for data, _ in sent]

    def receive(self, envelopes: list[Envelope]) -> None:
        """Receive packets, and record the resulting events."""
        for envelope in envelopes:
            self.quic.receive_datagram(envelope.datagram, AGENT, trio.current_time())
        event = self.quic.next_event()
        while event is not None:
            self.events.append(event)
            self.events.extend(self.h3.handle_event(event))
            event = self.quic.next_event()

    async def receive_retry(self, agent: AgentBench) -> bytes:
        """Receive an agent's Retry; return the Initial packet with its token."""
        (initial,) = self.datagrams()
        self.receive(await agent.receive(initial))
        (with_token,) = self.datagrams()
        return with_token

    def request(self, path: str = "/", *, body: bytes = b"") -> int:
        """Send a request; return its stream ID."""
        stream_id: int = self.quic.get_next_available_stream_id()
        fields = [
            (b":method", b"POST" if body else b"GET"),
            (b":scheme", b"https"),
            (b":authority", b"test"),
            (b":path", path.encode()),
        ]
        self.h3.send_headers(stream_id, fields, end_stream=not body)
        if body:
            self.h3.send_data(stream_id, body, end_stream=True)
        return stream_id

    async def exchange(
        self, *agents: AgentBench, balancer: tuple[str, int] = BALANCER
    ) -> None:
        """Exchange packets for ``ROUNDS`` rounds and run the caller's timer."""
        for _ in range(ROUNDS):
            await trio.sleep(ROUND_S)
            self.receive([packet for agent in agents for packet in agent.pop_sent()])
            self._run_timer()
            for data in self.datagrams():
                await self._deliver(data, agents, balancer)

    def _run_timer(self) -> None:
        now = trio.current_time()
        timer = self.quic.get_timer()
        if timer is not None and timer <= now:
            self.quic.handle_timer(now)

    async def _deliver(
        self, data: bytes, agents: tuple[AgentBench, ...], balancer: tuple[str, int]
    ) -> None:
        """Deliver a packet to the agent named by its connection ID, else the first."""
        agent = self._agent_for(data, agents)
        self.receive(await agent.receive(data, balancer=balancer))

    def _agent_for(self, data: bytes, agents: tuple[AgentBench, ...]) -> AgentBench:
        destination = data[1:21]
        if has_long_header(data):
            destination = LongHeader.parse(data).destination_connection_id
        try:
            named = self.codec.decode(destination).agent
        except InvalidConnectionIdError:
            return agents[0]
        return next(agent for agent in agents if agent.address.packed == named)
