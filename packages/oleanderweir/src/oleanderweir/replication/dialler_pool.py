"""A pool of tasks, each of which dials one peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from oleanderweir.membership import InstanceRecord
    from oleanderweir.replication.peer_dialler import PeerDialler


@attrs.define(kw_only=True, eq=False)
class DiallerPool:
    """Runs one dialler for each selected peer and stops the others."""

    nursery: trio.Nursery
    make_dialler: Callable[[InstanceRecord], PeerDialler]
    scopes: dict[InstanceRecord, trio.CancelScope] = attrs.field(factory=dict)

    def set_peers(self, peers: Iterable[InstanceRecord]) -> None:
        """Start and stop diallers so that exactly the given peers have one."""
        records = set(peers)
        for record in list(self.scopes):
            if record not in records:
                self.scopes.pop(record).cancel()
        for record in sorted(records - self.scopes.keys(), key=lambda r: r.name):
            scope = trio.CancelScope()
            self.scopes[record] = scope
            self.nursery.start_soon(self._run, scope, self.make_dialler(record))

    async def _run(self, scope: trio.CancelScope, dialler: PeerDialler) -> None:
        """Run one dialler until its scope is cancelled."""
        with scope:
            await dialler.run()
