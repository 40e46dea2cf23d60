"""What is published, and how lists and changes of it arrive."""

from __future__ import annotations

import enum

import attrs


class Topic(enum.StrEnum):
    """A part of the published state that is listed and watched as one."""

    DESIRED_STATE = "desired_state"
    BACKEND_SERVERS = "backend_servers"


@attrs.frozen(kw_only=True)
class Change:
    """
    A document as it was written under ``name``, or its removal (no document).

    ``revision`` is the source's counter at that write.
    """

    name: str
    revision: int
    document: bytes | None


@attrs.frozen(kw_only=True)
class Listing:
    """Every document of a topic; complete as of ``revision``."""

    topic: Topic
    revision: int
    documents: tuple[Change, ...]


@attrs.frozen(kw_only=True)
class Changes:
    """What changed in a topic, in order, up to ``revision``."""

    topic: Topic
    revision: int
    changes: tuple[Change, ...]
