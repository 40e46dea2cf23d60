from __future__ import annotations

import pytest

from oleanderweir_agent.verdicts import RequestProgress
from oleanderweir_agent.verdicts import RequestStage
from oleanderweir_agent.verdicts import Verdict


@pytest.mark.parametrize(
    ("stage", "verdict"),
    [
        (RequestStage.NOT_SENT, Verdict.NOT_RUN),
        (RequestStage.SENT, Verdict.MAY_HAVE_RUN),
        (RequestStage.RESPONDING, Verdict.MAY_HAVE_RUN),
        (RequestStage.COMPLETED, Verdict.RAN),
    ],
    ids=["not-sent", "sent", "responding", "completed"],
)
def test_the_stage_decides_the_verdict(stage: RequestStage, verdict: Verdict) -> None:
    progress = RequestProgress()

    progress.advance(stage)
    progress.advance(RequestStage.NOT_SENT)

    assert progress.verdict is verdict


@pytest.mark.parametrize("stage", RequestStage, ids=lambda stage: stage.name)
def test_a_confirmation_gives_not_run_at_any_stage(stage: RequestStage) -> None:
    progress = RequestProgress(stage=stage)

    progress.confirm_not_run()

    assert progress.verdict is Verdict.NOT_RUN
