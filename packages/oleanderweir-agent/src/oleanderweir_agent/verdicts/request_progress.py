"""The proof of what may have happened to one attempt of a request."""

from __future__ import annotations

import attrs

from oleanderweir_agent.verdicts.request_stage import RequestStage
from oleanderweir_agent.verdicts.verdict import Verdict


@attrs.define(kw_only=True)
class RequestProgress:
    """
    How far one attempt of a request has come, and what that proves.

    Call ``advance`` before the step, not after it: ``SENT`` before the first byte is
    written. ``prove_not_run`` is for an answer whose protocol says that the backend
    server, or the peer agent, has not begun the request.
    """

    stage: RequestStage = RequestStage.NOT_SENT
    is_confirmed_not_run: bool = False

    def advance(self, stage: RequestStage) -> None:
        """Move to a later stage; an earlier one changes nothing."""
        self.stage = max(self.stage, stage)

    def confirm_not_run(self) -> None:
        """Note that the other side says, by its protocol, that nothing has run."""
        self.is_confirmed_not_run = True

    @property
    def verdict(self) -> Verdict:
        """What may be said if the attempt stops now."""
        if self.stage is RequestStage.NOT_SENT or self.is_confirmed_not_run:
            return Verdict.NOT_RUN
        if self.stage is RequestStage.COMPLETED:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN
