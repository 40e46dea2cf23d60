"""Checks on this machine whether settings are usable, without serving."""

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
    """Reads the TLS files and binds each address once."""

    def __init__(self, *, settings: ProcessSettings) -> None:
        self.settings = settings

    def find_problems(self) -> Sequence[OleanderweirError]:
        """Return every error that would keep the process from serving."""
        checks: list[Callable[[], None]] = [
            *(material.check for material in self.settings.tls_materials),
            *(
                partial(_check_tcp_address, address)
                for address in self.settings.tcp_addresses.values()
            ),
            *(
                partial(_check_udp_address, address)
                for address in self.settings.udp_addresses.values()
            ),
        ]
        problems = (_run_check(check) for check in checks)
        return [problem for problem in problems if problem is not None]


def _run_check(check: Callable[[], None]) -> OleanderweirError | None:
    """Return the error that a check raises, or ``None``."""
    try:
        check()
    except OleanderweirError as error:
        return error
    return None


def _check_tcp_address(address: SocketAddress) -> None:
    """Raise ``AddressInUseError`` unless a TCP address is free."""
    bind_tcp_socket(address).close()


def _check_udp_address(address: SocketAddress) -> None:
    """Raise ``AddressInUseError`` unless a UDP address is free."""
    UdpSocket(bind_address=address).stdlib_socket.close()
