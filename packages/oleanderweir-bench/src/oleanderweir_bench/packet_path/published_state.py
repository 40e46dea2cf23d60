"""The published state of an emulated site."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import cast

import trio

from oleanderweir.desired_state import Change
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
        # Published records by host.
        self.records: dict[str, BackendRecord] = {}
        self.registers: dict[str, StateRegister] = {}
        self.revision = 1
        self.documents: dict[bytes, BackendRecord] = {}

    def decode_backend_server(self, name: str, document: bytes) -> BackendRecord:
        """Return the record that a document of ``make_listing`` stands for."""
        del name
        return self.documents[document]

    def create_register(self, host: str) -> StateRegister:
        """Return a register with the current state for a process that starts."""
        register = StateRegister(
            decoder=cast("StateDecoder", self), on_change=lambda _: None
        )
        register.desired_topic.desired = self.desired
        for route in self.desired.routes.values():
            services = {share.service for share in route.shares}
            register.desired_topic.services_by_address[route.address] = services
        register.apply_listing(self.make_listing(), origin="site")
        self.registers[host] = register
        return register

    def publish(self) -> None:
        """Send the current records to all processes."""
        self.revision += 1
        listing = self.make_listing()
        for register in list(self.registers.values()):
            self.nursery.start_soon(self._apply_late, register, listing)

    def make_listing(self) -> Listing:
        """Return the current records as a listing."""
        changes = []
        for record in self.records.values():
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

    async def _apply_late(self, register: StateRegister, listing: Listing) -> None:
        await trio.sleep(self.random_source.uniform(0, self.max_lag_s))
        register.apply_listing(listing, origin="site")
