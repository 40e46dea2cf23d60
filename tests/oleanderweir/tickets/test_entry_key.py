from __future__ import annotations

import pytest

from oleanderweir.tickets import EntryKey
from oleanderweir.tickets import InvalidEntryError
from tests.oleanderweir.tickets.values import service_key


def test_text_form_round_trips() -> None:
    assert str(service_key()) == "service/horaflujo"
    assert EntryKey.parse("service/horaflujo") == service_key()


@pytest.mark.parametrize("text", ["", "service", "service/", "region/x"])
def test_parse_rejects_invalid_keys(text: str) -> None:
    with pytest.raises(InvalidEntryError, match="write service/NAME"):
        EntryKey.parse(text)
