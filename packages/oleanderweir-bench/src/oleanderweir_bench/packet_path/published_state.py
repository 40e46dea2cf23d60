"""The published state of an emulated site."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import trio

from oleanderweir.desired_state import Change
from oleanderweir.desired_state import Changes
from oleanderweir.desired_state import Listing
from oleanderweir.desired_state import StateRegister
from oleanderweir.desired_state import Topic


if TYPE_CHECKING:
    import random

    from oleanderweir.desired_state import BackendRecord
    from oleanderweir.desired_state import DesiredState
    from oleanderweir.desired_state import StateDecoder


class PublishedState:
    """
    The records of the backend servers, and the register of each process.

    A change reaches a running process after a random time of up to ``max_lag_s``, and
    a process that starts at once. It decodes the documents of its own listings, which
    are only numbers.

    With ``is_watched``, a process starts without any state and lists it after that
    time; afterwards it gets the changes, ``extra_lag_s`` later at some hosts.
    """

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        random_source: random.Random,
        desired: DesiredState,
    ) -> None:
        self.nursery = nursery
        self.random_source = random_source
        self.desired = desired
        self.max_lag_s = 0.0
        self.is_watched = False
        self.extra_lag_s: dict[str, float] = {}
        # All changes of the records since the start, in order.
        self.changes: list[Change] = []
        self.published: dict[str, BackendRecord] = {}
        # Published records by host.
        self.records: dict[str, BackendRecord] = {}
        # Records of stopped backend servers whose lease has not ended, by name.
        self.leftovers: dict[str, BackendRecord] = {}
        self.registers: dict[str, StateRegister] = {}
        self.revision = 1
        self.documents: dict[bytes, BackendRecord] = {}
        self.desired_documents: dict[bytes, DesiredState] = {}

    def decode_desired_state(self, document: bytes) -> DesiredState:
        """Return the desired state that a document stands for."""
        return self.desired_documents[document]

    def decode_evacuated_zone(self, name: str) -> str | None:
        """Return ``None``: no zone of the site is evacuated."""
        del name
        return None

    def check_evacuation_order(self, document: bytes) -> None:
        """Do nothing: there are no orders."""

    def decode_backend_server(self, name: str, document: bytes) -> BackendRecord:
        """Return the record that a document of ``make_listing`` stands for."""
        del name
        return self.documents[document]

    def create_register(self, host: str) -> StateRegister:
        """Return a register with the current state for a process that starts."""
        register = StateRegister(
            decoder=cast("StateDecoder", self), on_change=lambda _: None
        )
        self.registers[host] = register
        if self.is_watched:
            self.nursery.start_soon(self._list_late, host, register)
            return register
        register.desired_topic.desired = self.desired
        for route in self.desired.routes.values():
            services = {share.service for share in route.shares}
            register.desired_topic.services_by_address[route.address] = services
        register.apply_listing(self.make_listing(), origin="site")
        return register

    def publish(self) -> None:
        """Send the current records to all processes."""
        if self.is_watched:
            self._record_changes()
            for host in list(self.registers):
                self.nursery.start_soon(self._watch_late, host, self.revision)
            return
        self.revision += 1
        listing = self.make_listing()
        for register in list(self.registers.values()):
            self.nursery.start_soon(self._apply_late, register, listing)

    def find_current(self) -> dict[str, BackendRecord]:
        """Return the current records by name; a later start replaces a leftover."""
        records = {record.identifier: record for record in self.records.values()}
        return {**self.leftovers, **records}

    def disconnect(self, host: str) -> None:
        """Notify a process that was killed of no more changes."""
        self.registers[host].on_change = lambda _: None

    def make_listing(self) -> Listing:
        """Return the current records as a listing."""
        changes = []
        for record in self.find_current().values():
            document = repr(record).encode()
            self.documents[document] = record
            change = Change(
                name=record.identifier, revision=self.revision, document=document
            )
            changes.append(change)
        return Listing(
            topic=Topic.BACKEND_SERVERS,
            revision=self.revision,
            documents=tuple(changes),
        )

    def write_desired(self, desired: DesiredState) -> None:
        """Send a desired state to all processes; this requires ``is_watched``."""
        self.desired = desired
        for host in list(self.registers):
            self.nursery.start_soon(self._apply_desired_late, host, desired)

    def _record_changes(self) -> None:
        """Record how the records differ from those that were published before."""
        names = self.find_current()
        for name in self.published.keys() - names.keys():
            self._append_change(name, None)
        for name, record in names.items():
            if self.published.get(name) != record:
                self._append_change(name, record)
        self.published = names

    def _append_change(self, name: str, record: BackendRecord | None) -> None:
        document = None
        if record is not None:
            document = repr(record).encode()
            self.documents[document] = record
        self.revision += 1
        self.changes.append(
            Change(name=name, revision=self.revision, document=document)
        )

    def _make_current_listing(self) -> Listing:
        """Return the published records, each with the revision of its last change."""
        newest = {change.name: change for change in self.changes}
        return Listing(
            topic=Topic.BACKEND_SERVERS,
            revision=self.revision,
            documents=tuple(newest[name] for name in self.published),
        )

    def _make_desired_listing(self, desired: DesiredState) -> Listing:
        document = repr(desired).encode()
        self.desired_documents[document] = desired
        revision = desired.version
        change = Change(name="desired", revision=revision, document=document)
        return Listing(
            topic=Topic.DESIRED_STATE, revision=revision, documents=(change,)
        )

    async def _sleep_lag(self, host: str) -> None:
        lag_s = self.random_source.uniform(0, self.max_lag_s)
        await trio.sleep(lag_s + self.extra_lag_s.get(host, 0.0))

    async def _list_late(self, host: str, register: StateRegister) -> None:
        await self._sleep_lag(host)
        listing = self._make_desired_listing(self.desired)
        register.apply_listing(listing, origin="site")
        register.apply_listing(self._make_current_listing(), origin="site")

    async def _watch_late(self, host: str, revision: int) -> None:
        """Send the changes up to a revision to a process that has its listing."""
        await self._sleep_lag(host)
        register = self.registers[host]
        known = register.revision(Topic.BACKEND_SERVERS)
        if known == 0:
            return
        changes = [c for c in self.changes if known < c.revision <= revision]
        register.apply_changes(
            Changes(
                topic=Topic.BACKEND_SERVERS, revision=revision, changes=tuple(changes)
            ),
            origin="site",
        )

    async def _apply_desired_late(self, host: str, desired: DesiredState) -> None:
        await self._sleep_lag(host)
        listing = self._make_desired_listing(desired)
        self.registers[host].apply_listing(listing, origin="site")

    async def _apply_late(self, register: StateRegister, listing: Listing) -> None:
        await trio.sleep(self.random_source.uniform(0, self.max_lag_s))
        register.apply_listing(listing, origin="site")
