"""Errors of requests, each with its verdict."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from oleanderweir.exceptions import OleanderweirError
from oleanderweir_agent.verdicts.rejection_messages import REJECTION_MESSAGES
from oleanderweir_agent.verdicts.verdict import Verdict


if TYPE_CHECKING:
    from oleanderweir_agent.verdicts.failure_reason import FailureReason
    from oleanderweir_agent.verdicts.rejection_reason import RejectionReason


class RequestError(OleanderweirError):
    """A request without a complete response; ``verdict`` says whether it ran."""

    code: ClassVar[str] = "request_error"
    verdict: ClassVar[Verdict] = Verdict.MAY_HAVE_RUN


class RequestRejectedError(RequestError):
    """
    A request was rejected and did not run.

    ``retry_after_s`` is the time in seconds after which a retry may succeed, or None
    if unknown. Without ``message``, the text is that of ``REJECTION_MESSAGES``.
    """

    code: ClassVar[str] = "request_rejected"
    verdict: ClassVar[Verdict] = Verdict.NOT_RUN

    def __init__(
        self,
        *,
        reason: RejectionReason,
        message: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        message = message or REJECTION_MESSAGES[reason]
        super().__init__(f"{message} (reason {reason.value})")
        self.reason = reason
        self.retry_after_s = retry_after_s


class RequestFailedError(RequestError):
    """A request failed and may have run; never report it to callers as not run."""

    code: ClassVar[str] = "request_failed"
    verdict: ClassVar[Verdict] = Verdict.MAY_HAVE_RUN

    def __init__(self, *, reason: FailureReason, message: str) -> None:
        super().__init__(f"{message} (reason {reason.value})")
        self.reason = reason
