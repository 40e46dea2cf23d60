"""Runs requests at the local backend server."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from oleanderweir_agent.backend import BackendBrokenError
from oleanderweir_agent.backend import BackendUnreachableError
from oleanderweir_agent.backend import InvalidRequestError
from oleanderweir_agent.limits import WorkResult
from oleanderweir_agent.verdicts import FailureReason
from oleanderweir_agent.verdicts import RejectionReason
from oleanderweir_agent.verdicts import RequestFailedError
from oleanderweir_agent.verdicts import RequestProgress
from oleanderweir_agent.verdicts import RequestRejectedError
from oleanderweir_agent.verdicts import RequestStage
from oleanderweir_agent.verdicts import Verdict


if TYPE_CHECKING:
    from oleanderweir_agent.backend import BackendClient
    from oleanderweir_agent.backend import BackendExchange
    from oleanderweir_agent.queueing import Admission
    from oleanderweir_agent.queueing import FeedAdmission
    from oleanderweir_agent.queueing import Permit
    from oleanderweir_agent.queueing import WorkRequest
    from oleanderweir_agent.requests.request import Request
    from oleanderweir_agent.requests.responder import Responder
    from oleanderweir_agent.requests.response_head import ResponseHead


SERVICE_UNAVAILABLE = 503
FEED_HEAD_TIMEOUT_S = 5.0
NOT_RUN_HEADER = b"request-not-run"
RETRY_AFTER_HEADER = b"retry-after"


class LocalRunner:
    """
    Admits a request, sends it to the backend server and forwards the response.

    ``run_feed`` and ``run_work`` raise ``RequestRejectedError`` if the request did not
    run, and ``RequestFailedError`` if it may have run.
    """

    def __init__(
        self,
        *,
        backend: BackendClient,
        admission: Admission,
        feed_admission: FeedAdmission,
    ) -> None:
        self.backend = backend
        self.admission = admission
        self.feed_admission = feed_admission

    async def run_feed(self, request: Request, responder: Responder) -> None:
        """Forward a feed until it ends; it has no deadline."""
        with self.feed_admission.admit():
            await self._exchange(request, responder, RequestProgress())

    async def run_work(
        self, request: Request, responder: Responder, work: WorkRequest
    ) -> None:
        """Run a request in a slot, within its deadline."""
        async with self.admission.admit(work) as permit:
            progress = RequestProgress()
            # The default outcome; ``_run_admitted`` overwrites it unless the deadline
            # cancels the request.
            permit.record_result(WorkResult.TIMED_OUT)
            with trio.move_on_at(request.deadline):
                await self._run_admitted(request, responder, progress, permit)
                return
            raise self._create_deadline_error(progress)

    async def _run_admitted(
        self,
        request: Request,
        responder: Responder,
        progress: RequestProgress,
        permit: Permit,
    ) -> None:
        """Run a request that holds a slot, and report its outcome to the permit."""
        try:
            await self._exchange(request, responder, progress)
        except RequestRejectedError as error:
            is_shed = error.reason is RejectionReason.BACKEND_SHED
            result = WorkResult.SHED if is_shed else WorkResult.FAILED
            permit.record_result(result, retry_after_s=error.retry_after_s)
            raise
        except RequestFailedError:
            permit.record_result(WorkResult.FAILED)
            raise
        except trio.Cancelled:
            if trio.current_time() < request.deadline:
                permit.record_result(WorkResult.ABANDONED)
            raise
        permit.record_result(WorkResult.SUCCEEDED)

    async def _exchange(
        self, request: Request, responder: Responder, progress: RequestProgress
    ) -> None:
        """Send a request to the backend server and forward the response."""
        try:
            exchange = await self.backend.connect()
        except BackendUnreachableError as error:
            raise self.admission.metrics.create_rejection(
                RejectionReason.BACKEND_UNREACHABLE, message=error.message
            ) from error
        async with exchange:
            data = self._encode(exchange, request)
            progress.advance(RequestStage.SENT)
            try:
                await exchange.send(data)
                head = await self._read_head(exchange, request)
                self._check_shed(head, progress)
                progress.advance(RequestStage.RESPONDING)
                await self._forward_response(exchange, head, responder)
            except BackendBrokenError as error:
                raise _create_broken_error(progress, error.message) from error
            progress.advance(RequestStage.COMPLETED)

    def _encode(self, exchange: BackendExchange, request: Request) -> bytes:
        """Encode a request; raise ``RequestRejectedError`` if it is invalid."""
        try:
            return exchange.encode(request)
        except InvalidRequestError as error:
            raise self.admission.metrics.create_rejection(
                RejectionReason.INVALID_REQUEST, message=error.message
            ) from error

    async def _read_head(
        self, exchange: BackendExchange, request: Request
    ) -> ResponseHead:
        """
        Return the head of the response.

        A feed has no deadline, so its head must arrive within ``FEED_HEAD_TIMEOUT_S``.
        """
        if not request.is_feed:
            return await exchange.read_head()
        with trio.move_on_after(FEED_HEAD_TIMEOUT_S):
            return await exchange.read_head()
        raise BackendBrokenError(
            f"the backend server sent no response head within {FEED_HEAD_TIMEOUT_S} s "
            "of the feed request; check whether it is overloaded"
        )

    async def _forward_response(
        self, exchange: BackendExchange, head: ResponseHead, responder: Responder
    ) -> None:
        """Forward the complete response to the caller."""
        await responder.send_head(head)
        async with contextlib.aclosing(exchange.read_body()) as body:
            async for data in body:
                await responder.send_data(data)
        await responder.finish()

    def _check_shed(self, head: ResponseHead, progress: RequestProgress) -> None:
        """Raise ``RequestRejectedError`` if the response states that it did not run."""
        if head.status != SERVICE_UNAVAILABLE:
            return
        if head.first(NOT_RUN_HEADER) is None:
            return
        progress.confirm_not_run()
        raise self.admission.metrics.create_rejection(
            RejectionReason.BACKEND_SHED,
            message="the backend server shed the request with status 503; retry later",
            retry_after_s=_parse_seconds(head.first(RETRY_AFTER_HEADER)),
        )

    def _create_deadline_error(
        self, progress: RequestProgress
    ) -> RequestRejectedError | RequestFailedError:
        """Return the error for a request whose deadline passed after admission."""
        message = "the deadline passed during the request; set a longer timeout"
        if progress.verdict is Verdict.NOT_RUN:
            return self.admission.metrics.create_rejection(
                RejectionReason.DEADLINE_PAST, message=message
            )
        return RequestFailedError(
            reason=FailureReason.DEADLINE_EXCEEDED, message=message
        )


def _parse_seconds(value: bytes | None) -> float | None:
    """Return the seconds of a ``Retry-After`` field; None for a date."""
    return float(value) if value is not None and value.isdigit() else None


def _create_broken_error(progress: RequestProgress, message: str) -> RequestFailedError:
    """Return the error for an exchange that failed after sending began."""
    is_truncated = progress.stage >= RequestStage.RESPONDING
    reason = (
        FailureReason.RESPONSE_TRUNCATED if is_truncated else FailureReason.BACKEND_LOST
    )
    return RequestFailedError(reason=reason, message=message)
