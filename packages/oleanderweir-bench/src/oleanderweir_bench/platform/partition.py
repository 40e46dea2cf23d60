"""Splits lists into groups that each fit into one value of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from oleanderweir.configuration_service.messages import MAX_VALUE_BYTES
from oleanderweir.configuration_service.messages import encode_message


if TYPE_CHECKING:
    from collections.abc import Sequence


# Allowance for the fields around the list in a message.
MESSAGE_OVERHEAD_BYTES = 1_000

ItemT = TypeVar("ItemT")


def split_by_size(
    items: Sequence[ItemT], max_bytes: int = MAX_VALUE_BYTES - MESSAGE_OVERHEAD_BYTES
) -> list[list[ItemT]]:
    """
    Return the items in order, in groups of at most ``max_bytes`` as JSON.

    An item that is larger than ``max_bytes`` has a group of its own.
    """
    groups: list[list[ItemT]] = [[]]
    size_bytes = 0
    for item in items:
        item_bytes = len(encode_message(item)) + 1
        if groups[-1] and size_bytes + item_bytes > max_bytes:
            groups.append([])
            size_bytes = 0
        groups[-1].append(item)
        size_bytes += item_bytes
    return groups
