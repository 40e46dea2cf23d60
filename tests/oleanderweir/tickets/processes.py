"""Processes of the merge machine, with a register, a boot gate and a key check."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from oleanderweir.tickets import BootGate
from oleanderweir.tickets import BootOutcome
from oleanderweir.tickets import BootSource
from oleanderweir.tickets import EntryKey
from oleanderweir.tickets import InvalidTicketError
from oleanderweir.tickets import RegisterBucket
from oleanderweir.tickets import TicketRegister
from oleanderweir.tickets import decode_entries
from oleanderweir.tickets import encode_entries
from oleanderweir.tickets import parse_ticket
from tests.oleanderweir.tickets.operators import rank_of


if TYPE_CHECKING:
    from tests.oleanderweir.tickets.operators import Operators
    from tests.oleanderweir.tickets.operators import Rank


class InvariantViolationError(AssertionError):
    """A process violated a guarantee of the merge."""


@attrs.define(kw_only=True, eq=False)
class Process:
    """One incarnation of an instance; a crash ends it and loses its state."""

    register: TicketRegister
    gate: BootGate
    is_frozen: bool = False
    side: int = 0
    has_contacted_peers: bool = False
    seen_ranks: dict[EntryKey, Rank] = attrs.field(factory=dict)

    @classmethod
    def start(
        cls, bucket_type: type[RegisterBucket], gate_type: type[BootGate]
    ) -> Process:
        register = TicketRegister(bucket_type=bucket_type)
        return cls(register=register, gate=gate_type())

    def can_reach(self, peer: Process) -> bool:
        return peer is not self and not peer.is_frozen and peer.side == self.side

    def read_snapshot(self, operators: Operators, index: int) -> None:
        snapshot = operators.snapshots[index % len(operators.snapshots)]
        self.register.merge_snapshot(snapshot)

    def read_ticket(self, text: str) -> None:
        before = self.register.digest()
        try:
            self.register.merge(parse_ticket(text).entries)
        except InvalidTicketError as error:
            if self.register.digest() != before:
                raise InvariantViolationError(
                    "an invalid ticket changed the register"
                ) from error

    def exchange(self, peer: Process) -> None:
        """Repair in both directions, as two connected processes do."""
        low, high = sorted((self.register, peer.register), key=lambda r: r.floor)
        floor = high.floor
        if floor > low.floor:
            for number in low.adopt_floor(floor, high.bucket_digests(floor)):
                low.merge_bucket(
                    number, floor=floor, entries=high.bucket_entries(number)
                )
        low.merge(decode_entries(encode_entries(high.entries())))
        high.merge(decode_entries(encode_entries(low.entries())))

    def boot_from_service(self, operators: Operators, index: int) -> None:
        if operators.is_down:
            self.gate.record(BootSource.CONFIGURATION_SERVICE, BootOutcome.UNAVAILABLE)
            return
        self.read_snapshot(operators, index)
        self.gate.record(BootSource.CONFIGURATION_SERVICE, BootOutcome.MERGED)

    def boot_from_peers(self, peers: list[Process]) -> None:
        self.has_contacted_peers = True
        ready = [peer for peer in peers if self.can_reach(peer) and peer.gate.is_ready]
        for peer in ready:
            self.exchange(peer)
        outcome = BootOutcome.MERGED if ready else BootOutcome.UNAVAILABLE
        self.gate.record(BootSource.PEERS, outcome)

    def ranks(self) -> dict[EntryKey, Rank]:
        return {entry.key: rank_of(entry) for entry in self.register.entries()}

    def check_keys(self, operators: Operators) -> None:
        """Raise if a key regressed or disappeared since the process became ready."""
        if not self.gate.is_ready:
            return
        ranks = self.ranks()
        for key in self.seen_ranks.keys() - ranks.keys():
            self.check_removed_key(key, operators)
        for key, rank in ranks.items():
            if rank < self.seen_ranks.get(key, rank):
                raise InvariantViolationError(
                    f"{key} regressed from ticket {self.seen_ranks[key][0]} "
                    f"to {rank[0]}"
                )
            self.seen_ranks[key] = rank

    def check_removed_key(self, key: EntryKey, operators: Operators) -> None:
        """Raise if a key disappeared without a removal since its last observed rank."""
        removals = operators.removals[key]
        later = [rank for rank in removals if rank >= self.seen_ranks[key]]
        if not later:
            raise InvariantViolationError(
                f"{key} vanished after ticket {self.seen_ranks[key][0]}"
            )
        self.seen_ranks[key] = min(later)
