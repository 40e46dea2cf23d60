"""Checks settings against the machine without serving."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from oleanderweir.admin import bind_tcp_socket
from oleanderweir.exceptions import OleanderweirError
from oleanderweir.net import UdpSocket


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from oleanderweir.net import SocketAddress
    from oleanderweir.settings import ProcessSettings


class Preflight:
    """Reads TLS files and binds every address once."""

    def __init__(self, *, settings: ProcessSettings) -> None:
        self.settings = settings

    def find_problems(self) -> Sequence[OleanderweirError]:
        """Return everything that would keep the process from serving."""
        attempts: list[Callable[[], None]] = [
            *(material.check for material in self.settings.tls_materials),
            *(partial(_try_tcp, item) for item in self.settings.tcp_addresses.values()),
            *(partial(_try_udp, item) for item in self.settings.udp_addresses.values()),
        ]
        problems = (_try(attempt) for attempt in attempts)
        return [problem for problem in problems if problem is not None]


def _try(attempt: Callable[[], None]) -> OleanderweirError | None:
    """Return why an attempt fails, or nothing."""
    try:
        attempt()
    except OleanderweirError as error:
        return error
    return None


def _try_tcp(address: SocketAddress) -> None:
    """Raise ``AddressInUseError`` unless a TCP address is free."""
    bind_tcp_socket(address).close()


def _try_udp(address: SocketAddress) -> None:
    """Raise ``AddressInUseError`` unless a UDP address is free."""
    UdpSocket(bind_address=address).stdlib_socket.close()
