"""How instances find each other."""

from __future__ import annotations

import enum

import attrs


class PeerRole(enum.IntEnum):
    """What an instance runs."""

    BALANCER = 1
    AGENT = 2


@attrs.frozen(kw_only=True)
class Heartbeat:
    """
    A sign of life that also tells what the sender knows.

    ``desired_revision`` and ``backends_revision`` are those of the newest change that
    the sender knows of each topic: who is behind asks it for the rest. ``balancers``
    and ``agents`` are hosts that the sender heard lately, in answers only.
    ``wants_answer`` asks for a greeting back. ``reads_source`` tells that the sender
    follows the backend servers at their source and passes changes on,
    ``holds_nothing`` that the sender's backend server has ended.
    """

    role: PeerRole = attrs.field(converter=PeerRole)
    availability_zone: str
    service: str
    desired_revision: int
    backends_revision: int
    balancers: tuple[str, ...] = attrs.field(converter=tuple[str, ...])
    agents: tuple[str, ...] = attrs.field(converter=tuple[str, ...])
    wants_answer: bool
    reads_source: bool
    holds_nothing: bool = False
