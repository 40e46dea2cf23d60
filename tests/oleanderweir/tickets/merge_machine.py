"""A state machine of tickets and faults on a few processes with registers in memory."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from oleanderweir.tickets import BootGate
from oleanderweir.tickets import RegisterBucket
from oleanderweir.tickets import decode_entries
from oleanderweir.tickets import encode_entries
from tests.oleanderweir.tickets.operators import Operators
from tests.oleanderweir.tickets.processes import InvariantViolationError
from tests.oleanderweir.tickets.processes import Process


PROCESS_COUNT = 3
NAMES = st.sampled_from(["a", "b"])
PORTS = st.sampled_from([None, 1, 2])
CHANGES = st.dictionaries(NAMES, PORTS, min_size=1, max_size=2)
INDICES = st.integers(min_value=0, max_value=PROCESS_COUNT - 1)
POSITIONS = st.integers(min_value=-3, max_value=8)


class MergeMachine(RuleBasedStateMachine):
    """Processes that read, exchange, fail and boot while operators publish tickets."""

    bucket_type: type[RegisterBucket] = RegisterBucket
    gate_type: type[BootGate] = BootGate

    def __init__(self) -> None:
        super().__init__()
        self.operators = Operators()
        self.in_flight: list[bytes] = []
        self.processes = [self.start() for _ in range(PROCESS_COUNT)]

    def start(self) -> Process:
        return Process.start(self.bucket_type, self.gate_type)

    @rule(changes=CHANGES, gap=st.integers(min_value=1, max_value=3))
    def publish(self, changes: dict[str, int | None], gap: int) -> None:
        self.operators.publish(self.operators.highest_ticket + gap, changes)

    @rule(changes=CHANGES)
    def publish_conflict(self, changes: dict[str, int | None]) -> None:
        number = self.operators.highest_ticket
        if number >= max(1, self.operators.register.floor):
            self.operators.publish(number, changes)

    @rule()
    def publish_invalid(self) -> None:
        self.operators.publish_invalid(self.operators.highest_ticket + 1)

    @rule(lag=st.integers(min_value=0, max_value=3))
    def declare_floor(self, lag: int) -> None:
        self.operators.declare_floor(
            max(0, self.operators.register.highest_ticket - lag)
        )

    @rule(name=NAMES)
    def remove_and_collect(self, name: str) -> None:
        self.publish({name: None}, gap=1)
        self.publish({"c": 1}, gap=1)
        self.declare_floor(lag=0)

    @rule(is_down=st.booleans())
    def change_service(self, is_down: bool) -> None:
        self.operators.is_down = is_down

    @precondition(lambda self: not self.operators.is_down)
    @rule(index=INDICES, position=POSITIONS)
    def read_snapshot(self, index: int, position: int) -> None:
        process = self.processes[index]
        if not process.is_frozen:
            process.read_snapshot(self.operators, position)

    @precondition(lambda self: self.operators.texts and not self.operators.is_down)
    @rule(index=INDICES, position=POSITIONS)
    def read_tickets(self, index: int, position: int) -> None:
        process = self.processes[index]
        if not process.is_frozen:
            for _, text in self.operators.texts[position % len(self.operators.texts) :]:
                process.read_ticket(text)

    @rule(index=INDICES, other=INDICES)
    def exchange(self, index: int, other: int) -> None:
        process, peer = self.processes[index], self.processes[other]
        if not process.is_frozen and process.can_reach(peer):
            process.exchange(peer)

    @rule(index=INDICES)
    def push(self, index: int) -> None:
        entries = self.processes[index].register.entries()
        self.in_flight.append(encode_entries(entries))

    @precondition(lambda self: self.in_flight)
    @rule(index=INDICES, position=POSITIONS)
    def deliver_delayed_or_duplicate(self, index: int, position: int) -> None:
        process = self.processes[index]
        if not process.is_frozen:
            data = self.in_flight[position % len(self.in_flight)]
            process.register.merge(decode_entries(data))

    @rule(index=INDICES, side=st.integers(min_value=0, max_value=1))
    def partition(self, index: int, side: int) -> None:
        self.processes[index].side = side

    @rule(index=INDICES, is_frozen=st.booleans())
    def freeze_or_resume(self, index: int, is_frozen: bool) -> None:
        self.processes[index].is_frozen = is_frozen

    @rule(index=INDICES)
    def crash(self, index: int) -> None:
        side = self.processes[index].side
        self.processes[index] = self.start()
        self.processes[index].side = side

    @rule(index=INDICES, position=POSITIONS)
    def boot_from_service(self, index: int, position: int) -> None:
        process = self.processes[index]
        if not process.is_frozen:
            process.boot_from_service(self.operators, position)
            if not process.has_contacted_peers:
                self.check_state_when_ready(process)

    @rule(index=INDICES)
    def boot_from_peers(self, index: int) -> None:
        process = self.processes[index]
        if not process.is_frozen:
            process.boot_from_peers(self.processes)
            self.check_state_when_ready(process)

    @rule(is_service_down=st.booleans())
    def heal(self, is_service_down: bool) -> None:
        self.operators.is_down = is_service_down
        for process in self.processes:
            process.is_frozen = False
            process.side = 0
            if not is_service_down:
                process.read_snapshot(self.operators, -1)
        for _ in range(2):
            for process, peer in zip(
                self.processes, self.processes[1:] + self.processes[:1], strict=True
            ):
                process.exchange(peer)
        digests = {process.register.digest() for process in self.processes}
        if not is_service_down:
            digests.add(self.operators.register.digest())
        if len(digests) > 1:
            raise InvariantViolationError(
                "processes differ after all faults have ended"
            )

    @invariant()
    def no_key_regresses(self) -> None:
        for process in self.processes:
            process.check_keys(self.operators)

    def teardown(self) -> None:
        self.heal(is_service_down=False)

    def check_state_when_ready(self, process: Process) -> None:
        """
        Raise if a process that just became ready lacks entries of its ready peers.

        Not called when a process reads the service after it has contacted its peers: a
        peer that was not ready then may have become ready in between.
        """
        if not process.gate.is_ready or process.seen_ranks:
            return
        ranks = process.ranks()
        for peer in self.processes:
            if not process.can_reach(peer) or not peer.seen_ranks:
                continue
            for key, rank in peer.ranks().items():
                is_collected = rank[0] < process.register.floor
                if not is_collected and ranks.get(key, (0, b"")) < rank:
                    raise InvariantViolationError(
                        f"a process became ready without ticket {rank[0]} of {key}"
                    )
