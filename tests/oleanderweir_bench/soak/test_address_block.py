from __future__ import annotations

import socket

import pytest

from oleanderweir_bench.soak.address_block import BLOCKS
from oleanderweir_bench.soak.address_block import reserve_block


@pytest.fixture
def lock_port() -> int:
    """Return a port that no running soak uses."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def test_soaks_with_the_same_preferred_block_use_different_addresses(
    lock_port: int,
) -> None:
    with (
        reserve_block(preferred=5, lock_port=lock_port) as first,
        reserve_block(preferred=5 + BLOCKS, lock_port=lock_port) as second,
    ):
        assert second == first + 1


def test_a_block_can_be_reserved_again_after_its_release(lock_port: int) -> None:
    with reserve_block(preferred=5, lock_port=lock_port) as first:
        pass

    with reserve_block(preferred=5, lock_port=lock_port) as second:
        assert second == first


def test_the_search_continues_with_the_first_block_after_the_last_one(
    lock_port: int,
) -> None:
    with (
        reserve_block(preferred=BLOCKS - 1, lock_port=lock_port) as last,
        reserve_block(preferred=BLOCKS - 1, lock_port=lock_port) as first,
    ):
        assert first == last - BLOCKS + 1
