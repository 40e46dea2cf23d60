"""Confines unexpected errors to the input at which they occur."""

from __future__ import annotations

from oleanderweir.error_barrier.error_barrier import ErrorBarrier
from oleanderweir.error_barrier.error_barrier import unexpected_errors


__all__ = ["ErrorBarrier", "unexpected_errors"]
