"""Readiness of a process for traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from oleanderweir.admin.readiness_reason import ReadinessReason


if TYPE_CHECKING:
    from collections.abc import Sequence


class ReadinessSource(Protocol):
    """An object that reports whether it can serve."""

    @property
    def is_ready(self) -> bool:
        """Whether services, backend servers and sockets are available."""


class Readiness:
    """
    Combines the readiness of ``source`` with startup and shutdown of the process.

    ``source`` is ``None`` until the process serves.
    """

    def __init__(self) -> None:
        self.source: ReadinessSource | None = None
        self.is_shutting_down = False

    @property
    def is_ready(self) -> bool:
        """Whether the process is ready for traffic."""
        return not self.reasons()

    def reasons(self) -> Sequence[ReadinessReason]:
        """Return every reason why the process is not ready."""
        reasons = []
        if self.source is None:
            reasons.append(ReadinessReason.STARTING)
        elif not self.source.is_ready:
            reasons.append(ReadinessReason.NOT_CONFIGURED)
        if self.is_shutting_down:
            reasons.append(ReadinessReason.SHUTTING_DOWN)
        return reasons
