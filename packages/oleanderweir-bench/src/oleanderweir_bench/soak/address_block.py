"""Loopback addresses that only one soak uses at a time."""

from __future__ import annotations

import socket
from contextlib import contextmanager
from typing import TYPE_CHECKING

from oleanderweir_bench.exceptions import NoAddressBlockError


if TYPE_CHECKING:
    from collections.abc import Iterator


# Soaks use the addresses 127.<block>.0.0/16, so that they can run in parallel.
FIRST_BLOCK = 16
BLOCKS = 200
# Port at 127.<block>.0.1 that a soak keeps bound while it uses the block.
LOCK_PORT = 7719


@contextmanager
def reserve_block(*, preferred: int, lock_port: int = LOCK_PORT) -> Iterator[int]:
    """
    Yield the number of a block that no other soak uses, and release it at the end.

    The search begins at ``preferred``, a number from 0. Raises ``NoAddressBlockError``
    if every block is in use.
    """
    for offset in range(BLOCKS):
        block = FIRST_BLOCK + (preferred + offset) % BLOCKS
        with socket.socket() as lock:
            try:
                lock.bind((f"127.{block}.0.1", lock_port))
            except OSError:
                continue
            yield block
            return
    raise NoAddressBlockError("every address block is in use; wait for another soak")
