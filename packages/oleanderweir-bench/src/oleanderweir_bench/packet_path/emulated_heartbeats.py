"""The heartbeats between the processes of an emulated site."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

import attrs
import trio

from oleanderweir.desired_state import ReaderStatus
from oleanderweir.peering import HeartbeatSender
from oleanderweir.peering import Members
from oleanderweir.peering import PeerUnavailableError
from oleanderweir_bench.packet_path.site_settings import AVAILABILITY_ZONE
from oleanderweir_bench.packet_path.site_settings import PEER_PORT
from oleanderweir_bench.packet_path.virtual_network import ONE_WAY_DELAY_S
from oleanderweir_bench.packet_path.virtual_network import VirtualSocket


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from oleanderweir.desired_state import Listing
    from oleanderweir.desired_state import Topic
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import StateClient
    from oleanderweir.peering.messages import PeerRole
    from oleanderweir_bench.packet_path.published_state import PublishedState
    from oleanderweir_bench.packet_path.virtual_network import VirtualNetwork


@attrs.frozen(kw_only=True, eq=False)
class EmulatedStateClient:
    """Fetches the state of a peer that can be reached."""

    host: str
    network: VirtualNetwork
    published: PublishedState

    async def fetch(self, host: str, topic: Topic) -> Listing:
        """Return the state of a topic at a peer; raise ``PeerUnavailableError``."""
        await trio.sleep(2 * ONE_WAY_DELAY_S)
        is_listening = (host, PEER_PORT) in self.network.listeners
        if self.network.is_cut(self.host, host) or not is_listening:
            raise PeerUnavailableError("the peer can't be reached")
        return self.published.registers[host].export(topic)


class EmulatedHeartbeats:
    """
    Creates the heartbeat sender of each process, which is the real code.

    Changes of the published state reach the processes by ``PublishedState`` and by
    fetches from peers; no process distributes them.
    """

    def __init__(
        self,
        *,
        seeds: Sequence[str],
        random_source: random.Random,
        network: VirtualNetwork,
        published: PublishedState,
    ) -> None:
        self.seeds = seeds
        self.random_source = random_source
        self.network = network
        self.published = published
        # Heartbeat senders by the host of their process.
        self.senders: dict[str, HeartbeatSender] = {}

    def create(self, host: str, *, role: PeerRole, service: str) -> HeartbeatSender:
        """Return the heartbeat sender of a process that starts, without members."""
        client = EmulatedStateClient(
            host=host, network=self.network, published=self.published
        )
        sender = self.senders[host] = HeartbeatSender(
            role=role,
            availability_zone=AVAILABILITY_ZONE,
            service=service,
            port=PEER_PORT,
            seeds=tuple(self.seeds),
            socket=cast("UdpSocket", VirtualSocket(network=self.network, host=host)),
            members=Members(own_host=host),
            register=self.published.registers[host],
            client=cast("StateClient", client),
            status=ReaderStatus(),
            random_source=random.Random(self.random_source.random()),
        )
        return sender

    def follow_changes(self, host: str, on_change: Callable[[Topic], None]) -> None:
        """Notify a process of changes, and send heartbeats to new hosts in them."""
        register = self.published.registers[host]
        sender = self.senders[host]

        def notify(topic: Topic) -> None:
            on_change(topic)
            if sender.started_at > float("-inf"):
                sender.discover_peers()

        register.on_change = notify
