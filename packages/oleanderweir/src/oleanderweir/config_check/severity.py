"""How much a finding matters."""

from __future__ import annotations

import enum


class Severity(enum.StrEnum):
    """
    The severity of a finding.

    After an error, processes ignore the configuration or part of it, or callers of a
    route aren't served. After a warning, an entry has no effect or limits contradict
    each other. A change is a difference from the version in force.
    """

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"
