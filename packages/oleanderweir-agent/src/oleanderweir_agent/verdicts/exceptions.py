"""Errors that end a request, each with its verdict."""

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
    """A request ended without its whole answer; ``verdict`` tells what it may do."""

    code: ClassVar[str] = "request_error"
    verdict: ClassVar[Verdict] = Verdict.MAY_HAVE_RUN


class RequestRejectedError(RequestError):
    """
    A request was refused and has not run.

    ``retry_after_s`` is the time in seconds after which an attempt may succeed, as
    far as it is known. The message is the remedy of the reason unless one is given.
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
    """A request stopped on its way and may have run; it must not travel as not run."""

    code: ClassVar[str] = "request_failed"
    verdict: ClassVar[Verdict] = Verdict.MAY_HAVE_RUN

    def __init__(self, *, reason: FailureReason, message: str) -> None:
        super().__init__(f"{message} (reason {reason.value})")
        self.reason = reason
