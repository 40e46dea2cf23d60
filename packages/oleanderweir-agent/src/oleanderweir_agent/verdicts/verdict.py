"""What is known about the run of a request that stopped."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """
    Whether a request may have run.

    ``NOT_RUN`` is a proof, never a guess: it is what allows a request that is not
    idempotent to be sent again.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
