from __future__ import annotations

import pytest

from oleanderweir_agent.verdicts import RequestProgress
from oleanderweir_agent.verdicts import RequestStage
from oleanderweir_agent.verdicts import Verdict


@pytest.mark.parametrize(
    ("stage", "verdict"),
    [
        (RequestStage.HELD, Verdict.NOT_RUN),
        (RequestStage.SENT, Verdict.MAY_HAVE_RUN),
        (RequestStage.ANSWERING, Verdict.MAY_HAVE_RUN),
        (RequestStage.ANSWERED, Verdict.RAN),
    ],
    ids=["held", "sent", "answering", "answered"],
)
def test_the_stage_decides_the_verdict(stage: RequestStage, verdict: Verdict) -> None:
    progress = RequestProgress()

    progress.advance(stage)
    progress.advance(RequestStage.HELD)

    assert progress.verdict is verdict


@pytest.mark.parametrize("stage", RequestStage, ids=lambda stage: stage.name)
def test_a_shed_that_says_so_proves_not_run(stage: RequestStage) -> None:
    progress = RequestProgress(stage=stage)

    progress.prove_not_run()

    assert progress.verdict is Verdict.NOT_RUN
