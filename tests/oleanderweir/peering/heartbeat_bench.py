"""A heartbeat sender with a fake socket and a fake client."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import cast

from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import ReaderStatus
from oleanderweir.desired_state import Topic
from oleanderweir.peering import HeartbeatSender
from oleanderweir.peering import Members
from oleanderweir.peering import decode_message
from oleanderweir.peering.messages import Confirmation
from oleanderweir.peering.messages import Heartbeat
from oleanderweir.peering.messages import PeerRole
from tests.oleanderweir.desired_state.fakes import make_register
from tests.oleanderweir.flows.fakes import FakeSocket


if TYPE_CHECKING:
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering import StateClient
    from oleanderweir.peering.messages import Message


OWN_HOST = "10.0.0.1"
PEER = "10.0.0.9"


class FakeStateClient:
    """Returns one listing, and records the requests for it."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, Topic]] = []
        self.listing: Listing | None = None

    async def fetch(self, host: str, topic: Topic) -> Listing:
        """Return the listing."""
        self.requests.append((host, topic))
        assert self.listing is not None
        return self.listing


class HeartbeatSenderBench:
    """A heartbeat sender, and the fakes around it."""

    def __init__(self, *, role: PeerRole = PeerRole.BALANCER) -> None:
        self.socket = FakeSocket()
        self.register = make_register()
        self.members = Members(own_host=OWN_HOST)
        self.client = FakeStateClient()
        self.status = ReaderStatus()
        self.heartbeat_sender = HeartbeatSender(
            role=role,
            availability_zone="a",
            service="",
            port=7720,
            seeds=("10.0.0.2",),
            socket=cast("UdpSocket", self.socket),
            members=self.members,
            register=self.register,
            client=cast("StateClient", self.client),
            status=self.status,
            random_source=random.Random(1),
        )

    def pop_messages(self, host: str) -> list[Message]:
        """Return the messages to a host, and forget all that were sent so far."""
        return [
            decode_message(data)
            for data, address in self.socket.pop_sent()
            if address[0] == host
        ]


def make_heartbeat(
    *,
    role: PeerRole = PeerRole.BALANCER,
    desired_version: int = 0,
    backends_revision: int = 0,
    reads_source: bool = False,
    evacuations_revision: int = 0,
) -> Heartbeat:
    """Return a heartbeat without listed hosts."""
    return Heartbeat(
        role=role,
        availability_zone="a",
        service="",
        desired_version=desired_version,
        backends_revision=backends_revision,
        balancers=(),
        agents=(),
        requests_reply=False,
        reads_source=reads_source,
        evacuations_revision=evacuations_revision,
    )


def make_confirmation(
    *,
    desired_version: int = 0,
    backends_revision: int = 0,
    age_ms: int = 0,
    reader: str = "",
    relay_from: int = 0,
    relay_to: int = 0,
    evacuations_revision: int = 0,
) -> Confirmation:
    """Return a confirmation that isn't relayed."""
    return Confirmation(
        desired_version=desired_version,
        backends_revision=backends_revision,
        age_ms=age_ms,
        reader=reader,
        relay_from=relay_from,
        relay_to=relay_to,
        evacuations_revision=evacuations_revision,
    )
