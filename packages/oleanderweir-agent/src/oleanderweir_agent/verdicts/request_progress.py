"""The progress of one attempt of a request."""

from __future__ import annotations

import attrs

from oleanderweir_agent.verdicts.request_stage import RequestStage
from oleanderweir_agent.verdicts.verdict import Verdict


@attrs.define(kw_only=True)
class RequestProgress:
    """
    The stage that one attempt of a request has reached, and the resulting verdict.

    Advance to ``SENT`` before the first byte is written, so that a write which fails
    midway counts as sent. Call ``confirm_not_run`` for a response in which the backend
    server states that it did not start the request.
    """

    stage: RequestStage = RequestStage.NOT_SENT
    is_confirmed_not_run: bool = False

    def advance(self, stage: RequestStage) -> None:
        """Move to a later stage; an earlier one is ignored."""
        self.stage = max(self.stage, stage)

    def confirm_not_run(self) -> None:
        """Record the backend server's statement that the request did not run."""
        self.is_confirmed_not_run = True

    @property
    def verdict(self) -> Verdict:
        """The verdict if the attempt stopped at the current stage."""
        if self.stage is RequestStage.NOT_SENT or self.is_confirmed_not_run:
            return Verdict.NOT_RUN
        if self.stage is RequestStage.COMPLETED:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN
