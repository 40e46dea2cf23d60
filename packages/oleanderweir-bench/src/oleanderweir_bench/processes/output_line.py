"""An output line of a process."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import attrs


if TYPE_CHECKING:
    from collections.abc import Mapping


@attrs.frozen(kw_only=True)
class OutputLine:
    """An output line of a process; ``fields`` is empty unless it is a JSON object."""

    text: str
    fields: Mapping[str, Any]

    @classmethod
    def parse(cls, text: str) -> OutputLine:
        """Parse a line; a line that is not JSON has no fields."""
        try:
            fields = json.loads(text)
        except ValueError:
            fields = {}
        return cls(text=text, fields=fields if isinstance(fields, dict) else {})
