"""Log lines of second copies, under the ID of their request."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from oleanderweir_agent.copies.copy_outcome import CopyOutcome
    from oleanderweir_agent.requests.request import Request


logger = logging.getLogger(__name__)


def log_copy_sent(request: Request, *, first: str | None, second: str) -> None:
    """Log that a copy goes to ``second``; ``first`` is None for a local first run."""
    logger.info(
        "a slow request was sent to a second backend server",
        extra={
            "code": "copy_sent",
            "request_id": request.request_id,
            "first": first,
            "second": second,
        },
    )


def log_copy_ended(request: Request, outcomes: Sequence[CopyOutcome]) -> None:
    """Log what became of a copy and of the run that lost."""
    logger.info(
        "a second copy of a request has ended",
        extra={
            "code": "copy_ended",
            "request_id": request.request_id,
            "outcomes": [outcome.value for outcome in outcomes],
        },
    )
