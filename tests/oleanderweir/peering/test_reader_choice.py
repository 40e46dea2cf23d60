from __future__ import annotations

from oleanderweir.peering.reader_choice import READERS
from oleanderweir.peering.reader_choice import is_reader


HOSTS = [f"10.0.0.{number}" for number in range(1, 41)]


def test_everyone_reads_while_nobody_is_heard() -> None:
    assert all(is_reader(host, []) for host in HOSTS)


def test_when_all_read_only_the_first_few_go_on() -> None:
    readers = [host for host in HOSTS if is_reader(host, set(HOSTS) - {host})]

    assert len(readers) == READERS


def test_a_reader_that_stops_is_replaced() -> None:
    readers = {host for host in HOSTS if is_reader(host, set(HOSTS) - {host})}
    left = readers - {min(readers)}

    others = [host for host in HOSTS if host not in readers]

    assert any(is_reader(host, left) for host in others)
