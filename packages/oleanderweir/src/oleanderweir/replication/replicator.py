"""Replicates tickets between the processes of the system."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.membership import Membership
from oleanderweir.replication.configuration_follower import ConfigurationFollower
from oleanderweir.replication.control_budget import ControlBudget
from oleanderweir.replication.dialler_pool import DiallerPool
from oleanderweir.replication.hello_conversion import make_hello
from oleanderweir.replication.instance_list_poller import InstanceListPoller
from oleanderweir.replication.metrics import PAUSES
from oleanderweir.replication.peer_boot_tracker import PeerBootTracker
from oleanderweir.replication.peer_selection import PeerSelection
from oleanderweir.replication.replication_context import ReplicationContext
from oleanderweir.replication.replication_settings import ReplicationSettings
from oleanderweir.replication.session_manager import SessionManager
from oleanderweir.replication.session_table import SessionTable


if TYPE_CHECKING:
    import random

    from oleanderweir.membership import InstanceListSource
    from oleanderweir.membership import InstanceRecord
    from oleanderweir.replication.peer_transport import PeerTransport
    from oleanderweir.replication.ticket_source import TicketSource
    from oleanderweir.tickets import BootGate
    from oleanderweir.tickets import Entry
    from oleanderweir.tickets import TicketRegister


INCARNATION_BITS = 64
PAUSE_CHECK_INTERVAL_S = 1.0
PAUSE_THRESHOLD_S = 3.0
RESELECTION_INTERVAL_S = 30.0

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class Replicator:
    """
    Keeps the register of this process consistent with those of all others.

    It watches or polls the published tickets, exchanges changed entries with a few
    peers selected from the instance list, and repairs missed entries.
    ``own_record`` describes this process; ``boot_gate`` opens when it may serve.
    ``zone_list`` lists the instances of the own availability zone and ``fleet_list``
    those of all zones, which only readers need.
    """

    own_record: InstanceRecord
    register: TicketRegister
    boot_gate: BootGate
    zone_list: InstanceListSource
    fleet_list: InstanceListSource
    ticket_source: TicketSource
    transport: PeerTransport
    random: random.Random
    settings: ReplicationSettings = attrs.field(factory=ReplicationSettings)
    budget: ControlBudget = attrs.field(factory=ControlBudget)
    sessions: SessionTable = attrs.field(factory=SessionTable)
    membership: Membership = attrs.field(init=False)
    selection: PeerSelection = attrs.field(init=False)
    context: ReplicationContext = attrs.field(init=False)
    peer_boot: PeerBootTracker = attrs.field(init=False)
    follower: ConfigurationFollower = attrs.field(init=False)
    list_poller: InstanceListPoller = attrs.field(init=False)
    session_manager: SessionManager = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.membership = Membership(
            observed_lease_s=self.settings.observed_lease_s,
            suspicion_s=self.settings.suspicion_s,
        )
        self.selection = PeerSelection(
            own_record=self.own_record,
            membership=self.membership,
            ring_count=self.settings.ring_count,
            readers_per_zone=self.settings.readers_per_zone,
        )
        incarnation = f"{self.random.getrandbits(INCARNATION_BITS):016x}"
        self.context = ReplicationContext(
            register=self.register,
            budget=self.budget,
            boot_gate=self.boot_gate,
            settings=self.settings,
            hello=make_hello(self.own_record, incarnation=incarnation),
            random=self.random,
        )
        self.peer_boot = PeerBootTracker(
            context=self.context, membership=self.membership, selection=self.selection
        )
        self.follower = ConfigurationFollower(
            context=self.context,
            source=self.ticket_source,
            has_peer_state=lambda: self.peer_boot.has_peer_state,
            poll_interval_s=lambda: self.selection.poll_interval_s(self.settings),
        )
        self.list_poller = InstanceListPoller(
            zone_list=self.zone_list,
            fleet_list=self.fleet_list,
            availability_zone=self.own_record.availability_zone,
            membership=self.membership,
            settings=self.settings,
            random=self.random,
        )
        self.session_manager = SessionManager(
            context=self.context,
            membership=self.membership,
            transport=self.transport,
            peer_boot=self.peer_boot,
            sessions=self.sessions,
            on_peer_lost=self._on_peer_lost,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the process has merged enough state to serve."""
        return self.boot_gate.is_ready

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """
        Replicate until cancelled; report started once sessions are accepted.

        Raise ``AddressInUseError`` when the own peer address cannot be bound.
        """
        self.context.started_at = trio.current_time()
        self.register.listeners.append(self._on_new_entries)
        try:
            async with (
                self.transport.serve(self.session_manager.accept),
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(self.list_poller.run)
                nursery.start_soon(self._maintain_sessions)
                nursery.start_soon(self._follow_configuration)
                nursery.start_soon(self._detect_pauses)
                task_status.started()
        finally:
            self.register.listeners.remove(self._on_new_entries)

    def _on_new_entries(self, entries: tuple[Entry, ...]) -> None:
        """Push new entries to the peers, except those merged while booting."""
        self.context.changed_at = trio.current_time()
        self.context.cached_digest = None
        if self.boot_gate.is_ready:
            self.sessions.push(entries)

    def _on_peer_lost(self) -> None:
        """Watch the service until the loss of the peer is known to the others."""
        self.follower.watch_for(self.settings.suspicion_s)

    async def _maintain_sessions(self) -> None:
        """Dial the selected peers; reselect periodically and on membership changes."""
        async with trio.open_nursery() as nursery:
            pool = DiallerPool(
                nursery=nursery, make_dialler=self.session_manager.make_dialler
            )
            selected_version = -1
            selected_at = 0.0
            while True:
                now = trio.current_time()
                is_due = now - selected_at > RESELECTION_INTERVAL_S
                if is_due or self.membership.version != selected_version:
                    selected_at = now
                    selected_version = self.membership.version
                    self._select_peers(pool)
                await trio.sleep(self.settings.selection_interval_s)

    def _select_peers(self, pool: DiallerPool) -> None:
        """Update the peers to dial and the role of this process."""
        self.peer_boot.check_peers()
        names = self.selection.peers(excluded=self.peer_boot.excluded_peers())
        instances = self.membership.instances()
        pool.set_peers(instances[name] for name in names if name in instances)
        is_reader = self.selection.is_reader
        self.follower.set_reader(is_reader=is_reader)
        self.list_poller.set_reader(is_reader=is_reader)

    async def _follow_configuration(self) -> None:
        """Follow the configuration service, after waiting for state from peers."""
        with trio.move_on_after(self.settings.peer_boot_timeout_s):
            await self.peer_boot.decided.wait()
        await self.follower.run()

    async def _detect_pauses(self) -> None:
        """Compare registers with peers at once after a pause of the process."""
        while True:
            before = trio.current_time()
            await trio.sleep(PAUSE_CHECK_INTERVAL_S)
            if trio.current_time() - before > PAUSE_THRESHOLD_S:
                PAUSES.inc()
                logger.warning("the process was paused; comparing registers with peers")
                self.sessions.compare_registers()
