from __future__ import annotations

import pytest

from oleanderweir_agent.verdicts import FailureReason
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestProgress
from oleanderweir_agent.verdicts import RequestRejectedError
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


def test_errors_carry_their_verdict_code_and_reason() -> None:
    rejected = RequestRejectedError(
        reason=RejectionReason.QUEUE_FULL, retry_after_s=1.5
    )
    failed = RequestFailedError(reason=FailureReason.PEER_LOST, message="check first")

    assert rejected.verdict is Verdict.NOT_RUN
    assert rejected.retry_after_s == 1.5
    assert str(rejected) == (
        "[request_rejected] the queue is full; retry later or add slots "
        "(reason queue_full)"
    )
    assert failed.verdict is Verdict.MAY_HAVE_RUN
    assert str(failed) == "[request_failed] check first (reason peer_lost)"


@pytest.mark.parametrize("reason", RejectionReason, ids=lambda reason: reason.value)
def test_every_reason_has_a_remedy(reason: RejectionReason) -> None:
    assert reason.value in str(RequestRejectedError(reason=reason))
