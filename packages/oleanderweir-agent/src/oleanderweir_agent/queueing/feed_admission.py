"""Admission of feeds to the connections of a backend server."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from oleanderweir_agent.drain import DrainState
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestMetrics


if TYPE_CHECKING:
    from collections.abc import Iterator


@attrs.define(kw_only=True, eq=False)
class FeedAdmission:
    """Admits feeds to one backend server; each holds a connection but no slot."""

    connections: int
    drain: DrainState = attrs.field(factory=DrainState)
    metrics: RequestMetrics = attrs.field(factory=RequestMetrics)
    open_feeds: int = 0

    @contextmanager
    def admit(self) -> Iterator[None]:
        """
        Hold a connection while the block runs.

        Raises ``RequestRejectedError`` while draining or when all connections are in
        use.
        """
        if self.drain.is_draining:
            raise self.metrics.create_rejection(RejectionReason.DRAINING)
        if self.open_feeds >= self.connections:
            raise self.metrics.create_rejection(RejectionReason.CONNECTIONS_FULL)
        self.open_feeds += 1
        self.drain.on_work_started()
        try:
            yield
        finally:
            self.open_feeds -= 1
            self.drain.on_work_completed()
