"""Checks the examples and the fields of ``docs/TICKETS.md``."""

from __future__ import annotations

import re
from pathlib import Path

from oleanderweir.configuration_service.messages import InstanceListPart
from oleanderweir.configuration_service.messages import SnapshotPart
from oleanderweir.configuration_service.messages import TicketPage
from oleanderweir.configuration_service.messages import decode_message
from oleanderweir.tickets import parse_ticket
from oleanderweir.tickets.value_reader import RULES


PAGE = Path(__file__).parents[3] / "docs" / "TICKETS.md"
TEXT = PAGE.read_text(encoding="utf-8")
EXAMPLES = re.findall(r"```json\n(.*?)```", TEXT, re.DOTALL)


def test_examples_are_valid() -> None:
    ticket, page, snapshot, instances = EXAMPLES

    assert parse_ticket(ticket).number == 17
    assert decode_message(page.encode(), TicketPage).highest_ticket == 18
    assert decode_message(snapshot.encode(), SnapshotPart).floor == 9
    assert decode_message(instances.encode(), InstanceListPart).version == 4


def test_every_field_is_described() -> None:
    names = {name for rules in RULES.values() for name in rules}

    assert [name for name in sorted(names) if f"| `{name}` |" not in TEXT] == []
