from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from oleanderweir.tickets import InvalidTicketError
from oleanderweir.tickets import TicketChecker
from oleanderweir.tickets import UnreadableTicketFileError


if TYPE_CHECKING:
    from pathlib import Path


def test_ticket_of_a_valid_file_is_returned(tmp_path: Path) -> None:
    path = tmp_path / "17.json"
    path.write_text('{"ticket": 17, "services": {"boletin": null}}')

    assert TicketChecker().check_ticket_file(path).number == 17


def test_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(UnreadableTicketFileError, match="name a readable file"):
        TicketChecker().check_ticket_file(tmp_path / "none.json")


def test_file_in_another_encoding_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "17.json"
    path.write_bytes(b'{"ticket": "\xff"}')

    with pytest.raises(InvalidTicketError, match="not valid UTF-8 at byte 12"):
        TicketChecker().check_ticket_file(path)
