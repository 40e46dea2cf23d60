"""Whether a request ran."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """
    Whether a request ran.

    ``NOT_RUN`` is a guarantee: a request that is not idempotent may be retried only
    with this verdict. In case of doubt, the verdict is ``MAY_HAVE_RUN``.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"
