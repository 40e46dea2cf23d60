"""The peers that are alive according to their messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.peering.messages import PeerRole
from oleanderweir.peering.pause_log import PauseLog


if TYPE_CHECKING:
    from oleanderweir.peering.messages import Heartbeat


# A member that sends nothing for this long, three heartbeats, is dropped.
MEMBER_LEASE_S = 7.0
# A host that runs replies within this time after a peer listed it: two rounds of
# heartbeats to candidates.
DISCOVERY_S = 0.3
# An agent that this process or a peer has heard may take this long to restart. Its
# backend server runs on, though its entry may have lapsed.
AGENT_RESTART_S = 4.0


# A member that was silent for longer may have been restarted, and have missed messages.
REAPPEARANCE_S = 1.0


@attrs.frozen(kw_only=True)
class Candidate:
    """A host that a peer listed at ``listed_at``, in seconds of trio's clock."""

    role: PeerRole
    listed_at: float

    @property
    def awaited_until(self) -> float:
        """When the host should have replied if it runs or restarts."""
        is_agent = self.role is PeerRole.AGENT
        return self.listed_at + (AGENT_RESTART_S if is_agent else DISCOVERY_S)


@attrs.define(kw_only=True, eq=False)
class Member:
    """
    A peer with its newest heartbeat.

    ``heartbeat_at`` is the time of that heartbeat, ``last_seen_at`` that of the last
    message of any kind, in seconds of trio's clock.
    """

    host: str
    heartbeat: Heartbeat
    heartbeat_at: float
    last_seen_at: float


class Members:
    """
    Keeps the peers that sent a heartbeat, and candidates: hosts that peers listed.

    A candidate gets heartbeats until it replies or ``MEMBER_LEASE_S`` has passed since
    it was first listed.
    """

    def __init__(self, *, own_host: str) -> None:
        self.own_host = own_host
        self.members: dict[str, Member] = {}
        self.candidates: dict[str, Candidate] = {}
        # When processes announced their departure, by host; in seconds of trio's clock.
        self.departed: dict[str, float] = {}
        # When processes were heard again after a silence, by host; same clock.
        self.reappeared: dict[str, float] = {}
        # Messages wait unread during a pause, which is no silence of their senders.
        self.pauses = PauseLog()

    def record_run(self) -> None:
        """Record that this process runs; its timers call this."""
        self.pauses.record_run(trio.current_time())

    def record_departure(self, host: str) -> None:
        """Remove a process that announced its departure."""
        self.members.pop(host, None)
        self.candidates.pop(host, None)
        self.departed[host] = trio.current_time()

    def departed_at(self, host: str) -> float | None:
        """Return when a process announced its departure, unless it sent more since."""
        return self.departed.get(host)

    def no_flows_reported_at(self, host: str) -> float | None:
        """Return when the newest heartbeat of an agent came, if it reports no flows."""
        member = self.members.get(host)
        if member is None or not member.heartbeat.holds_no_flows:
            return None
        return member.heartbeat_at

    def was_heard_since(self, host: str, moment: float) -> bool:
        """Whether a member sent any message since ``moment``."""
        member = self.members.get(host)
        return member is not None and member.last_seen_at >= moment

    def was_heard_within(self, host: str, span_s: float, *, now: float) -> bool:
        """Whether a member sent any message while this process last ran so long."""
        limit = self.pauses.moment_before(now, ran_for_s=span_s)
        return self.was_heard_since(host, limit)

    def record_heartbeat(self, host: str, heartbeat: Heartbeat) -> None:
        """Record a heartbeat, and the hosts that it lists as candidates."""
        now = trio.current_time()
        self._record_reappearance(host, now=now)
        self.members[host] = Member(
            host=host, heartbeat=heartbeat, heartbeat_at=now, last_seen_at=now
        )
        self.candidates.pop(host, None)
        self.departed.pop(host, None)
        for other in heartbeat.balancers:
            self.add_candidate(other, PeerRole.BALANCER)
        for other in heartbeat.agents:
            self.add_candidate(other, PeerRole.AGENT)

    def record_activity(self, host: str) -> None:
        """Renew the lease of a member that sent another message."""
        self.departed.pop(host, None)
        member = self.members.get(host)
        if member is not None:
            now = trio.current_time()
            self._record_reappearance(host, now=now)
            member.last_seen_at = now

    def _record_reappearance(self, host: str, *, now: float) -> None:
        """Record that a known host is heard again after a silence."""
        is_silent = not self.was_heard_within(host, REAPPEARANCE_S, now=now)
        if host in self.members and is_silent:
            self.reappeared[host] = now

    def reappeared_at(self, host: str) -> float:
        """Return when a host was last heard again, or minus infinity."""
        return self.reappeared.get(host, float("-inf"))

    def add_candidate(self, host: str, role: PeerRole) -> None:
        """Add another host as a candidate unless it is a member or has departed."""
        if host in self.departed:
            return
        if host != self.own_host and host not in self.members:
            candidate = Candidate(role=role, listed_at=trio.current_time())
            self.candidates.setdefault(host, candidate)

    def expire(self) -> None:
        """Drop the hosts whose lease has expired."""
        now = trio.current_time()
        limit = self.pauses.moment_before(now, ran_for_s=MEMBER_LEASE_S)
        for host in [h for h, m in self.members.items() if m.last_seen_at < limit]:
            del self.members[host]
        for host in [h for h, c in self.candidates.items() if c.listed_at < limit]:
            del self.candidates[host]
        for host in [h for h, since in self.departed.items() if since < limit]:
            del self.departed[host]
        for host in [h for h, since in self.reappeared.items() if since < limit]:
            del self.reappeared[host]

    def is_discovering(self) -> bool:
        """Whether a host that a peer listed may still reply for the first time."""
        now = trio.current_time()
        return any(c.awaited_until > now for c in self.candidates.values())

    def hosts(self, role: PeerRole) -> list[str]:
        """Return the hosts of the members of one role."""
        return [
            host
            for host, member in self.members.items()
            if member.heartbeat.role is role
        ]

    def agents_of(self, service: str) -> list[str]:
        """Return the hosts of the agents whose heartbeat names a service."""
        return [
            host
            for host, member in self.members.items()
            if member.heartbeat.role is PeerRole.AGENT
            and member.heartbeat.service == service
        ]
