"""Handles callers' requests, with retries and explicit rejections."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.requests.header import Header
from oleanderweir_agent.requests.response_head import ResponseHead
from oleanderweir_agent.retries import AttemptCount
from oleanderweir_agent.verdicts import FailureReason
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestRejectedError
from oleanderweir_agent.verdicts import Verdict


if TYPE_CHECKING:
    from oleanderweir_agent.copies.copy_runner import CopyRunner
    from oleanderweir_agent.metrics import AgentMetrics
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.request_dispatcher import RequestDispatcher
    from oleanderweir_agent.requests.responder import Responder
    from oleanderweir_agent.retries import RetryPolicy
    from oleanderweir_agent.verdicts import RequestMetrics


BAD_REQUEST = 400
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MIN_RETRY_AFTER_S = 1
# Rejections by admission are not retried: they are immediate, and a retry would only
# lengthen the caller's wait.
RETRYABLE_REASONS = frozenset(
    {
        RejectionReason.BACKEND_SHED,
        RejectionReason.BACKEND_UNREACHABLE,
        FailureReason.BACKEND_LOST,
        FailureReason.PEER_LOST,
    }
)


class RequestService:
    """
    Sends exactly one response to each request, or resets its stream.

    An attempt that did not run, or an idempotent one that failed, is retried within
    the deadline and the retry budget, unless the head of the response has already
    been sent. Copies of slow attempts count as attempts.
    """

    def __init__(
        self,
        *,
        dispatcher: RequestDispatcher,
        copies: CopyRunner,
        retry_policy: RetryPolicy,
        request_metrics: RequestMetrics,
        metrics: AgentMetrics,
    ) -> None:
        self.dispatcher = dispatcher
        self.copies = copies
        self.retry_policy = retry_policy
        self.request_metrics = request_metrics
        self.metrics = metrics

    async def handle(self, request: Request, responder: Responder) -> None:
        """Send a complete response or a rejection, or reset the stream."""
        try:
            await self._run_with_retries(request, responder)
        except RequestRejectedError as error:
            self._count_request(error.verdict)
            await self._send_rejection(responder, error)
        except RequestFailedError as error:
            self._count_request(error.verdict)
            self.request_metrics.count_failure(error.reason)
            await self._send_failure(responder, error)
        else:
            self._count_request(Verdict.RAN)

    async def _run_with_retries(self, request: Request, responder: Responder) -> None:
        """Run attempts until one succeeds or no retry is allowed."""
        self.retry_policy.budget.record_first_attempt()
        attempts = AttemptCount(max_attempts=self.retry_policy.max_attempts)
        failure: RequestFailedError | None = None
        while True:
            attempts.count += 1
            try:
                await self._run_attempt(request, responder, attempts)
            except (RequestRejectedError, RequestFailedError) as error:
                if isinstance(error, RequestFailedError):
                    failure = error
                delay_s = self._plan_retry(request, responder, error, attempts.count)
                if delay_s is None and failure is not None:
                    # An earlier attempt may have run, even if a later one was rejected.
                    raise failure from None
                if delay_s is None:
                    raise
                await trio.sleep(delay_s)
            else:
                return

    async def _run_attempt(
        self, request: Request, responder: Responder, attempts: AttemptCount
    ) -> None:
        """Run one attempt of a feed or a request."""
        if request.is_feed:
            await self.dispatcher.run_feed(request, responder)
        else:
            await self.copies.run_work(request, responder, attempts)

    def _plan_retry(
        self,
        request: Request,
        responder: Responder,
        error: RequestRejectedError | RequestFailedError,
        attempts: int,
    ) -> float | None:
        """Return the seconds before the next attempt, or None for no retry."""
        if responder.is_head_sent or error.reason not in RETRYABLE_REASONS:
            return None
        return self.retry_policy.plan_retry(
            method=request.method,
            verdict=error.verdict,
            attempts=attempts,
            deadline=request.deadline,
            reason=error.reason.value,
            retry_after_s=getattr(error, "retry_after_s", None),
        )

    async def _send_rejection(
        self, responder: Responder, error: RequestRejectedError
    ) -> None:
        """Send the reason why the request did not run, and when to retry."""
        if responder.is_head_sent:
            responder.reset()
            return
        retry_after_s = max(MIN_RETRY_AFTER_S, math.ceil(error.retry_after_s or 0.0))
        headers = (
            Header(name=b"retry-after", value=str(retry_after_s).encode()),
            Header(name=b"request-not-run", value=error.reason.value.encode()),
        )
        is_invalid = error.reason is RejectionReason.INVALID_REQUEST
        status = BAD_REQUEST if is_invalid else SERVICE_UNAVAILABLE
        await responder.send_head(ResponseHead(status=status, headers=headers))
        await responder.finish()

    async def _send_failure(
        self, responder: Responder, error: RequestFailedError
    ) -> None:
        """Send a response which states that the request may have run."""
        if responder.is_head_sent:
            responder.reset()
            return
        is_deadline_exceeded = error.reason is FailureReason.DEADLINE_EXCEEDED
        status = GATEWAY_TIMEOUT if is_deadline_exceeded else BAD_GATEWAY
        header = Header(name=b"request-may-have-run", value=error.reason.value.encode())
        await responder.send_head(ResponseHead(status=status, headers=(header,)))
        await responder.finish()

    def _count_request(self, verdict: Verdict) -> None:
        self.metrics.requests.labels(verdict.value).inc()
