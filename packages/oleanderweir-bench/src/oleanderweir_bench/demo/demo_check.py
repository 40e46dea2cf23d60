"""A check of the demonstration."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class DemoCheck:
    """A check of the demonstration, with the values that it observed."""

    name: str
    is_passed: bool
    observed: str
