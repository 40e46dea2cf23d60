"""The other processes that were heard lately."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.peering.messages import PeerRole


if TYPE_CHECKING:
    from oleanderweir.peering.messages import Heartbeat


# A member that was silent for this long is forgotten; three greetings.
MEMBER_LEASE_S = 7.0


@attrs.define(kw_only=True, eq=False)
class Member:
    """A process that greeted, with what it last told; times in trio's seconds."""

    host: str
    heartbeat: Heartbeat
    heard_at: float


class Members:
    """
    Keeps who greeted, and hosts that others named and nobody heard yet.

    Hosts that were only named are greeted once each round until they answer or
    ``MEMBER_LEASE_S`` is over.
    """

    def __init__(self, *, own_host: str) -> None:
        self.own_host = own_host
        self.members: dict[str, Member] = {}
        self.named: dict[str, float] = {}
        # When processes said that they end, by host.
        self.departed: dict[str, float] = {}

    def note_departure(self, host: str) -> None:
        """Forget a process that said that it ends."""
        self.members.pop(host, None)
        self.named.pop(host, None)
        self.departed[host] = trio.current_time()

    def has_departed(self, host: str) -> bool:
        """Whether a process said that it ends, and was not heard since."""
        return host in self.departed

    def holds_nothing(self, host: str) -> bool:
        """Whether an agent said last that its backend server has ended."""
        member = self.members.get(host)
        return member is not None and member.heartbeat.holds_nothing

    def note(self, host: str, heartbeat: Heartbeat) -> None:
        """Take a heartbeat in."""
        now = trio.current_time()
        self.members[host] = Member(host=host, heartbeat=heartbeat, heard_at=now)
        self.named.pop(host, None)
        self.departed.pop(host, None)
        for other in (*heartbeat.balancers, *heartbeat.agents):
            self.name(other)

    def note_alive(self, host: str) -> None:
        """Note any other sign of life of a member."""
        self.departed.pop(host, None)
        member = self.members.get(host)
        if member is not None:
            member.heard_at = trio.current_time()

    def name(self, host: str) -> None:
        """Note a host that should be greeted."""
        if host in self.departed:
            return
        if host != self.own_host and host not in self.members:
            self.named.setdefault(host, trio.current_time())

    def expire(self) -> None:
        """Forget who was silent for too long."""
        limit = trio.current_time() - MEMBER_LEASE_S
        for host in [h for h, m in self.members.items() if m.heard_at < limit]:
            del self.members[host]
        for host in [h for h, since in self.named.items() if since < limit]:
            del self.named[host]
        for host in [h for h, since in self.departed.items() if since < limit]:
            del self.departed[host]

    def hosts(self, role: PeerRole) -> list[str]:
        """Return the hosts of one role that were heard lately."""
        return [
            host
            for host, member in self.members.items()
            if member.heartbeat.role is role
        ]

    def agents_of(self, service: str) -> list[str]:
        """Return the hosts of the agents that said they serve a service."""
        return [
            host
            for host, member in self.members.items()
            if member.heartbeat.role is PeerRole.AGENT
            and member.heartbeat.service == service
        ]
