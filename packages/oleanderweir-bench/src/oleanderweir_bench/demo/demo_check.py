"""One thing that the demonstration checks."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class DemoCheck:
    """One thing that the demonstration checks, and what was seen."""

    name: str
    is_passed: bool
    observed: str
