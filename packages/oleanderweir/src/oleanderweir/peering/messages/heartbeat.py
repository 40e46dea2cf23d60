"""The periodic sign of life by which instances discover each other."""

from __future__ import annotations

import enum

import attrs


class PeerRole(enum.IntEnum):
    """The kind of process that an instance runs."""

    BALANCER = 1
    AGENT = 2


@attrs.frozen(kw_only=True)
class Heartbeat:
    """
    A sign of life with the newest state and the peers of the sender.

    ``desired_version`` is the version of the desired state in force, and
    ``backends_revision`` the revision of the newest change of the backend servers that
    the sender has: receivers that are behind fetch its state.
    ``balancers`` and ``agents`` are hosts of the sender's members, in replies only.
    ``requests_reply`` asks for a heartbeat in return. ``reads_source`` is true if the
    sender watches the backend servers at their source and sends the changes to its
    members, ``holds_no_flows`` if it is an agent whose backend server holds no flows.
    ``evacuations_revision`` is the revision of the newest evacuation order or
    withdrawal that the sender has, 0 if it has seen none.
    """

    role: PeerRole = attrs.field(converter=PeerRole)
    availability_zone: str
    service: str
    desired_version: int
    backends_revision: int
    balancers: tuple[str, ...] = attrs.field(converter=tuple[str, ...])
    agents: tuple[str, ...] = attrs.field(converter=tuple[str, ...])
    requests_reply: bool
    reads_source: bool
    holds_no_flows: bool = False
    evacuations_revision: int = 0
