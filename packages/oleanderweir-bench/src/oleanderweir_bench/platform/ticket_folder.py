"""A folder of ticket files, published in the order of their numbers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.tickets import TicketChecker
from oleanderweir_bench.platform.exceptions import PublishingError


if TYPE_CHECKING:
    from pathlib import Path

    from oleanderweir.tickets import Ticket
    from oleanderweir_bench.platform.published_state import PublishedState


POLL_INTERVAL_S = 0.5

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class TicketFolder:
    """Publishes the ``*.json`` files of a folder, including files added later."""

    path: Path
    state: PublishedState
    rejected: dict[Path, str] = attrs.field(factory=dict)
    published: set[Path] = attrs.field(factory=set)

    def publish_all(self) -> None:
        """
        Publish every file that is not published yet.

        Raise ``PublishingError`` naming the first file that is rejected.
        """
        self.publish_new()
        for path, message in self.rejected.items():
            raise PublishingError(f"{path}: {message}")

    async def follow(self) -> None:
        """Publish files as they are added, until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            self.publish_new()

    def publish_new(self) -> None:
        """Publish the files that are not published yet; record rejected files."""
        tickets: list[tuple[Ticket, Path]] = []
        for path in sorted(self.path.glob("*.json")):
            if path in self.published:
                continue
            try:
                tickets.append((TicketChecker().check_ticket_file(path), path))
            except OleanderweirError as error:
                self.record_rejection(path, str(error))
        for _, path in sorted(tickets, key=lambda pair: pair[0].number):
            self.publish_file(path)

    def publish_file(self, path: Path) -> None:
        """Publish one file; record the error if it is rejected."""
        try:
            self.state.publish(path.read_text(encoding="utf-8"))
        except OleanderweirError as error:
            self.record_rejection(path, str(error))
            return
        self.published.add(path)
        self.rejected.pop(path, None)

    def record_rejection(self, path: Path, message: str) -> None:
        """Record why a file is rejected, and log each reason once."""
        if self.rejected.get(path) != message:
            logger.warning("cannot publish ticket file %s: %s", path, message)
        self.rejected[path] = message
