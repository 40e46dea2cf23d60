"""Topics of the published state, with their listings and changes."""

from __future__ import annotations

import enum

import attrs

from oleanderweir.desired_state.withdrawn_orders import WithdrawnOrders


class Topic(enum.StrEnum):
    """A part of the published state that is listed and watched as a unit."""

    DESIRED_STATE = "desired_state"
    BACKEND_SERVERS = "backend_servers"


@attrs.frozen(kw_only=True)
class Change:
    """
    The write of a document under ``name``, or its removal (``document`` is ``None``).

    ``revision`` is the number that the source's adapter gave to that write. Numbers
    grow with each write, and also when the source returns from an older copy.
    """

    name: str
    revision: int
    document: bytes | None


@attrs.frozen(kw_only=True)
class Listing:
    """
    All documents of a topic as of ``revision``.

    ``withdrawn`` is what the sender knows of evacuation orders that were withdrawn;
    ``None`` if it is a peer of a release whose listings may lack orders.
    """

    topic: Topic
    revision: int
    documents: tuple[Change, ...]
    withdrawn: WithdrawnOrders | None = attrs.field(factory=WithdrawnOrders)


@attrs.frozen(kw_only=True)
class Changes:
    """The changes of a topic up to ``revision``, in order."""

    topic: Topic
    revision: int
    changes: tuple[Change, ...]
