"""A task that maintains a session with one peer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.exceptions import OleanderweirError
from oleanderweir.replication.exceptions import PeerUnavailableError
from oleanderweir.replication.metrics import DIAL_RETRIES
from oleanderweir.replication.metrics import SESSIONS_ENDED
from oleanderweir.replication.peer_session import PeerSession


if TYPE_CHECKING:
    from collections.abc import Callable

    from oleanderweir.membership import InstanceRecord
    from oleanderweir.membership import Membership
    from oleanderweir.replication.peer_transport import PeerTransport
    from oleanderweir.replication.replication_context import ReplicationContext


logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class PeerDialler:
    """
    Dials one peer and redials after a failure, with jittered exponential backoff.

    After a failed session the peer is suspected for ``suspicion_s``, or until it sends
    a hello.
    """

    record: InstanceRecord
    context: ReplicationContext
    membership: Membership
    transport: PeerTransport
    on_hello: Callable[[PeerSession], None]
    on_synchronized: Callable[[PeerSession], None]
    on_close: Callable[[PeerSession], None]
    on_lost: Callable[[PeerSession], None]
    backoff_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.backoff_s = self.context.settings.dial_backoff_min_s

    async def run(self) -> None:
        """Maintain a session with the peer until cancelled."""
        while True:
            try:
                await self._run_session()
            except OleanderweirError as error:
                self._record_failure(error)
            await trio.sleep(self.backoff_s * self.context.random.uniform(0.5, 1.0))
            limit_s = self.context.settings.dial_backoff_max_s
            self.backoff_s = min(limit_s, self.backoff_s * 2)

    async def _run_session(self) -> None:
        """Dial once and run the session until it closes."""
        address = str(self.record.peer_address)
        async with self.transport.connect(address) as stream:
            session = PeerSession(
                context=self.context,
                stream=stream,
                is_dialler=True,
                on_hello=self._on_hello,
                on_synchronized=self.on_synchronized,
            )
            try:
                await session.run()
            except OleanderweirError:
                self.on_lost(session)
                raise
            finally:
                self.on_close(session)

    def _on_hello(self, session: PeerSession) -> None:
        """Check the name of the peer, reset the backoff and call ``on_hello``."""
        if session.peer is not None and session.peer.name != self.record.name:
            raise PeerUnavailableError(
                f"{self.record.peer_address} belongs to '{session.peer.name}', not to "
                f"'{self.record.name}'; the instance list is out of date"
            )
        self.backoff_s = self.context.settings.dial_backoff_min_s
        self.on_hello(session)

    def _record_failure(self, error: OleanderweirError) -> None:
        """Count a failed dial or closed session, and suspect the peer."""
        SESSIONS_ENDED.labels(reason=error.code).inc()
        DIAL_RETRIES.labels(reason=error.code).inc()
        logger.info("session with %s closed: %s", self.record.name, error)
        self.membership.suspect(self.record.name)
