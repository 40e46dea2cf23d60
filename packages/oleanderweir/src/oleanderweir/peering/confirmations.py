"""The confirmations that readers send to the other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from oleanderweir.desired_state import Topic
from oleanderweir.peering.confirmation_relay import ConfirmationRelay
from oleanderweir.peering.freshness import NEVER
from oleanderweir.peering.freshness import Freshness
from oleanderweir.peering.messages import Confirmation


if TYPE_CHECKING:
    from oleanderweir.desired_state import StateRegister
    from oleanderweir.net import UdpSocket
    from oleanderweir.peering.members import Members


# A reader confirms its state again once the proof of it is newer by this time.
MIN_ADVANCE_S = 0.3


class Confirmations:
    """
    Sends confirmations as a reader, and records and relays those of others.

    ``freshness`` has all proofs that the state of this process was that of the source.
    """

    def __init__(
        self, *, port: int, socket: UdpSocket, members: Members, register: StateRegister
    ) -> None:
        self.register = register
        self.freshness = Freshness(members=members)
        self.relay = ConfirmationRelay(port=port, socket=socket, members=members)
        # The proof that was last sent to all members.
        self.sent_proof_at = NEVER

    def on_response(
        self, topic: Topic, *, proved_at: float, is_distributor: bool
    ) -> None:
        """Record a response of the source, and confirm the state as a reader."""
        self.freshness.record_response(topic, proved_at=proved_at)
        if is_distributor:
            self.confirm()

    def on_confirmation(self, host: str, confirmation: Confirmation) -> None:
        """Record a confirmation from a reader or a relay, and relay it."""
        reader = confirmation.reader or host
        proved_at = trio.current_time() - confirmation.age_ms / 1000
        self.freshness.record_confirmation(
            reader, proved_at=proved_at, is_shared=self._has_state_of(confirmation)
        )
        if confirmation.relay_to:
            self.relay.relay(host, attrs.evolve(confirmation, reader=reader))

    def confirm(self) -> None:
        """Confirm the state to all members if there is a newer proof of it."""
        proved_at = self.freshness.own_proof_at
        if proved_at == NEVER or proved_at < self.sent_proof_at + MIN_ADVANCE_S:
            return
        self.sent_proof_at = proved_at
        self.relay.send_to_all(self._make_confirmation(proved_at))

    def confirm_to(self, host: str) -> None:
        """Confirm the state to one host, if there is a proof of it."""
        proved_at = self.freshness.own_proof_at
        if proved_at > NEVER:
            self.relay.send_to(host, self._make_confirmation(proved_at))

    def _make_confirmation(self, proved_at: float) -> Confirmation:
        return Confirmation(
            desired_version=self.register.version,
            backends_revision=self.register.changed_revision(Topic.BACKEND_SERVERS),
            age_ms=max(0, round((trio.current_time() - proved_at) * 1000)),
            reader="",
            relay_from=0,
            relay_to=0,
            evacuations_revision=self.register.evacuations_revision,
        )

    def _has_state_of(self, confirmation: Confirmation) -> bool:
        """Whether this process has the state that a confirmation names, or a newer."""
        register = self.register
        return (
            register.version >= confirmation.desired_version
            and register.revision(Topic.BACKEND_SERVERS)
            >= confirmation.backends_revision
            and register.revision(Topic.DESIRED_STATE)
            >= confirmation.evacuations_revision
        )
