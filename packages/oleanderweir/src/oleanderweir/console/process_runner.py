"""Runs a balancer or an agent from start to shutdown."""

from __future__ import annotations

import importlib.metadata
import logging
import signal
import sys
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import trio
from prometheus_client import REGISTRY
from prometheus_client import CollectorRegistry

from oleanderweir.admin import AdminServer
from oleanderweir.admin import ProcessStatus
from oleanderweir.admin import Readiness
from oleanderweir.console.exceptions import ProcessEndedError
from oleanderweir.console.exceptions import ProcessFailedError
from oleanderweir.console.exceptions import ShutdownCutError
from oleanderweir.console.managed_process import DrainableProcess
from oleanderweir.console.process_metrics import ProcessMetrics
from oleanderweir.console.process_monitor import ProcessMonitor
from oleanderweir.exceptions import OleanderweirError
from oleanderweir.logs import RepeatFilter
from oleanderweir.logs import configure_logging
from oleanderweir.settings import ProcessSettings


if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from oleanderweir.console.managed_process import ManagedProcess
    from oleanderweir.console.managed_process import ProcessFactory


logger = logging.getLogger(__name__)

SettingsT = TypeVar("SettingsT", bound=ProcessSettings)


class ProcessRunner(Generic[SettingsT]):
    """
    Runs a process with its logging, admin interface and signal handling.

    The first SIGTERM or SIGINT starts a graceful shutdown: the process reports that it
    is not ready, completes the work in flight and stops. A process that cannot be
    drained, such as a balancer, continues to serve for the whole grace period, so that
    the fabric can remove it. A second signal stops the process at once. The runner has
    its own metrics registry; modules define further metrics in the default registry of
    prometheus_client.
    """

    def __init__(
        self,
        *,
        role: str,
        settings: SettingsT,
        create_process: ProcessFactory[SettingsT],
    ) -> None:
        self.role = role
        self.settings = settings
        self.create_process = create_process
        self.registry = CollectorRegistry()
        self.readiness = Readiness()
        self.repeat_filter = RepeatFilter()
        self.started_at = 0.0
        self.is_shutdown_cut = False

    def run(self) -> None:
        """
        Serve until a signal arrives; return after a complete graceful shutdown.

        Raise the error that kept the process from serving, ``ShutdownCutError`` if
        the shutdown interrupted work in flight, and ``ProcessFailedError`` for
        unexpected errors.
        """
        self.repeat_filter = configure_logging(
            settings=self.settings, stream=sys.stdout
        )
        try:
            trio.run(self.serve)
        except OleanderweirError:
            raise
        except Exception as error:
            raise _find_cause(error) from error
        finally:
            self.repeat_filter.report_suppressed(is_final=True)
        if self.is_shutdown_cut:
            raise ShutdownCutError(
                "the shutdown interrupted work; raise --shutdown-grace-s "
                f"above {self.settings.shutdown_grace_s:g}"
            )
        logger.info("stopped", extra={"code": "stopped"})

    async def serve(self) -> None:
        """Serve until a signal or an error stops the process."""
        self.started_at = trio.current_time()
        metrics = ProcessMetrics(registry=self.registry)
        metrics.record_certificate_expiry(self.settings.tls_materials)
        monitor = ProcessMonitor(
            readiness=self.readiness, metrics=metrics, repeat_filter=self.repeat_filter
        )
        admin = AdminServer(
            address=self.settings.admin_address,
            registries=[REGISTRY, self.registry],
            read_status=self.read_status,
        )
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                await nursery.start(admin.run)
                process = self.create_process(self.settings, registry=self.registry)
                nursery.start_soon(self._handle_signals, signals, process, nursery)
                nursery.start_soon(monitor.run)
                logger.info("starting", extra={"code": "starting"})
                await nursery.start(self._run_process, process, nursery)
                self.readiness.source = process

    def read_status(self) -> ProcessStatus:
        """Return the current status of the process."""
        reasons = tuple(self.readiness.reasons())
        return ProcessStatus(
            role=self.role,
            version=importlib.metadata.version("oleanderweir"),
            instance_name=self.settings.instance_name,
            availability_zone=self.settings.availability_zone,
            region=self.settings.region,
            uptime_s=round(trio.current_time() - self.started_at, 3),
            is_ready=not reasons,
            reasons=reasons,
        )

    async def _run_process(
        self,
        process: ManagedProcess,
        nursery: trio.Nursery,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        """Run the process; stop all other tasks when it returns."""
        await process.run(task_status=task_status)
        if not self.readiness.is_shutting_down:
            raise ProcessEndedError(
                "the process stopped serving without a signal; read its log"
            )
        nursery.cancel_scope.cancel()

    async def _handle_signals(
        self,
        signals: AsyncIterator[int],
        process: ManagedProcess,
        nursery: trio.Nursery,
    ) -> None:
        """Shut down gracefully on the first signal and at once on the second."""
        async for number in signals:
            name = signal.Signals(number).name
            logger.info("received %s", name, extra={"code": "signal"})
            if self.readiness.is_shutting_down or self.readiness.source is None:
                self.is_shutdown_cut = self.readiness.is_shutting_down
                nursery.cancel_scope.cancel()
                return
            self.readiness.is_shutting_down = True
            nursery.start_soon(self._shut_down, process, nursery)

    async def _shut_down(self, process: ManagedProcess, nursery: trio.Nursery) -> None:
        """Let work in flight complete within the grace period, then stop all tasks."""
        grace_s = self.settings.shutdown_grace_s
        logger.info("shutting down", extra={"code": "shutting_down"})
        if isinstance(process, DrainableProcess):
            with trio.move_on_after(grace_s) as grace:
                await process.drain()
            self.is_shutdown_cut = grace.cancelled_caught
        else:
            await trio.sleep(grace_s)
        nursery.cancel_scope.cancel()


def _find_cause(error: Exception) -> OleanderweirError:
    """
    Return the first error of a group with only ``OleanderweirError`` in it.

    Log any other error and return a ``ProcessFailedError`` for it.
    """
    if isinstance(error, ExceptionGroup):
        known, unexpected = error.split(OleanderweirError)
        if known is not None and unexpected is None:
            return _first_leaf(known)
    logger.error("unexpected error", exc_info=error, extra={"code": "internal"})
    return ProcessFailedError("an unexpected error stopped the process; read its log")


def _first_leaf(group: ExceptionGroup[OleanderweirError]) -> OleanderweirError:
    """Return the first error that is not itself a group."""
    first = group.exceptions[0]
    return _first_leaf(first) if isinstance(first, ExceptionGroup) else first
