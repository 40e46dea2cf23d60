from __future__ import annotations

from oleanderweir.peering.reader_choice import READER_COUNT
from oleanderweir.peering.reader_choice import is_reader


HOSTS = [f"10.0.0.{number}" for number in range(1, 41)]


def test_every_process_reads_while_no_reader_is_known() -> None:
    assert all(is_reader(host, []) for host in HOSTS)


def test_only_reader_count_processes_continue_if_all_read() -> None:
    readers = [host for host in HOSTS if is_reader(host, set(HOSTS) - {host})]

    assert len(readers) == READER_COUNT


def test_a_reader_that_stops_is_replaced() -> None:
    readers = {host for host in HOSTS if is_reader(host, set(HOSTS) - {host})}
    remaining = readers - {min(readers)}

    others = [host for host in HOSTS if host not in readers]

    assert any(is_reader(host, remaining) for host in others)
