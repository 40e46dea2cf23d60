"""The sending of packets by the fabric, with the faults that it injects."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio


if TYPE_CHECKING:
    import random
    import socket

    from oleanderweir_bench.fabric.conditions import Conditions
    from oleanderweir_bench.fabric.fabric_counters import FabricCounters


class PacketSender:
    """
    Sends, drops, duplicates or delays packets, and counts these faults.

    ``nursery`` runs the tasks that send delayed packets.
    """

    def __init__(
        self, *, nursery: trio.Nursery, random: random.Random, counters: FabricCounters
    ) -> None:
        self.nursery = nursery
        self.random = random
        self.counters = counters

    def send(
        self,
        source: socket.socket,
        data: bytes,
        target: tuple[str, int],
        *,
        hosts: tuple[str, str],
        conditions: Conditions,
    ) -> None:
        """Send a packet between two hosts, subject to the conditions."""
        if conditions.has_no_faults:
            self.send_now(source, data, target)
            return
        if conditions.cut_hosts.intersection(hosts):
            self.counters.dropped_by_cut += 1
            return
        if self.random.random() < conditions.loss:
            self.counters.dropped_by_loss += 1
            return
        if self.random.random() < conditions.duplication:
            self.counters.duplicated += 1
            self.send_after(conditions.delay_s, source, data, target)
        delay_s = conditions.delay_s
        if self.random.random() < conditions.reorder:
            self.counters.reordered += 1
            delay_s += conditions.reorder_delay_s
        self.send_after(delay_s, source, data, target)

    def send_now(
        self, source: socket.socket, data: bytes, target: tuple[str, int]
    ) -> None:
        """Send a packet; drop and count it if the socket cannot send it."""
        try:
            source.sendto(data, target)
        except OSError:
            self.counters.dropped_by_full_socket += 1

    def send_after(
        self,
        delay_s: float,
        source: socket.socket,
        data: bytes,
        target: tuple[str, int],
    ) -> None:
        """Send a packet after ``delay_s``."""
        if not delay_s:
            self.send_now(source, data, target)
            return
        self.nursery.start_soon(self.sleep_and_send, delay_s, source, data, target)

    async def sleep_and_send(
        self,
        delay_s: float,
        source: socket.socket,
        data: bytes,
        target: tuple[str, int],
    ) -> None:
        """Sleep for ``delay_s``, then send a packet."""
        await trio.sleep(delay_s)
        self.send_now(source, data, target)
