"""Decides when a process that has just booted may serve."""

from __future__ import annotations

import logging

import attrs
import trio

from oleanderweir.tickets.boot_outcome import BootOutcome
from oleanderweir.tickets.boot_source import BootSource
from oleanderweir.tickets.metrics import BOOT_OUTCOMES


logger = logging.getLogger(__name__)


def pending_outcomes() -> dict[BootSource, BootOutcome]:
    """Return the outcomes at the start of a process: every source is pending."""
    return dict.fromkeys(BootSource, BootOutcome.PENDING)


@attrs.define(kw_only=True, eq=False)
class BootGate:
    """
    Keeps a process from serving until it has merged the state of its boot sources.

    The sources are the configuration service and the peers. Either may be stale, so
    both are read. If one cannot be read, it is recorded as unavailable and the other
    one suffices; if neither has been merged, the process is not ready. Peers that are
    not ready themselves do not count as merged. A ready process stays ready.
    """

    outcomes: dict[BootSource, BootOutcome] = attrs.field(factory=pending_outcomes)
    ready: trio.Event = attrs.field(factory=trio.Event)

    @property
    def is_ready(self) -> bool:
        """Whether the process has merged enough to serve."""
        return self.ready.is_set()

    def record(self, source: BootSource, outcome: BootOutcome) -> None:
        """
        Record the outcome of reading a source, after its state has been merged.

        A merged source stays merged if it becomes unavailable later.
        """
        BOOT_OUTCOMES.labels(source=source.value, outcome=outcome.value).inc()
        if self.outcomes[source] is not BootOutcome.MERGED:
            self.outcomes[source] = outcome
        if not self.is_ready and self.may_serve():
            logger.info("tickets in force are merged; the process is ready")
            self.ready.set()

    def may_serve(self) -> bool:
        """Whether no source is pending and at least one has been merged."""
        outcomes = set(self.outcomes.values())
        return BootOutcome.PENDING not in outcomes and BootOutcome.MERGED in outcomes

    async def wait_ready(self) -> None:
        """Wait until the process may serve."""
        await self.ready.wait()
