from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from oleanderweir_bench.platform import PublishedState
from oleanderweir_bench.platform import PublishingError
from oleanderweir_bench.platform import TicketFolder
from tests.oleanderweir_bench.platform.test_configuration_service_stand_in import (
    ticket_text,
)


if TYPE_CHECKING:
    from pathlib import Path


def test_files_are_published_in_the_order_of_ticket_numbers(tmp_path: Path) -> None:
    (tmp_path / "a.json").write_text(ticket_text(7))
    (tmp_path / "b.json").write_text(ticket_text(3))
    folder = TicketFolder(path=tmp_path, state=PublishedState())

    folder.publish_all()
    (tmp_path / "c.json").write_text(ticket_text(9))
    (tmp_path / "d.json").write_text("{")
    folder.publish_new()

    assert [ticket.number for ticket in folder.state.history] == [3, 7, 9]
    assert list(folder.rejected) == [tmp_path / "d.json"]


def test_error_names_the_first_rejected_file(tmp_path: Path) -> None:
    (tmp_path / "a.json").write_text("{}")

    with pytest.raises(PublishingError, match="a.json"):
        TicketFolder(path=tmp_path, state=PublishedState()).publish_all()
