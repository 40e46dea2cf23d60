"""Quantiles of measured values."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable


def quantile(values: Iterable[float], share: float) -> float:
    """Return the smallest value that at least ``share`` of the values do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    index = math.ceil(share * len(ordered)) - 1
    return ordered[max(0, index)]
