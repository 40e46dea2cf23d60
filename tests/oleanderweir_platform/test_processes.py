from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING
from typing import Any

import pytest

from oleanderweir.early_start import bind_udp_early
from oleanderweir_platform.agent_process import create_agent
from oleanderweir_platform.balancer_process import create_balancer
from oleanderweir_platform.early_start import EarlyStart
from tests.oleanderweir_platform.test_settings import make_fields


if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def early() -> Iterator[EarlyStart]:
    root = logging.getLogger()
    handlers, level = root.handlers, root.level
    sockets = [bind_udp_early("127.0.0.1:0") for _ in range(2)]
    fields: dict[str, Any] = {**make_fields(), "Ip": "127.0.0.1"}
    yield EarlyStart(fields=fields, data_socket=sockets[0], peer_socket=sockets[1])
    for bound_socket in sockets:
        bound_socket.close()
    root.handlers, root.level = handlers, level


@pytest.fixture(autouse=True)
def standard_output(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Replace standard output by a socket, since processes make it non-blocking."""
    reader, writer = socket.socketpair()
    monkeypatch.setattr("sys.stdout", writer.makefile("w"))
    yield
    reader.close()
    writer.close()


def test_a_balancer_is_created_before_its_event_loop_runs(early: EarlyStart) -> None:
    process = create_balancer(early)

    assert not process.program.is_ready


def test_an_agent_is_created_before_its_event_loop_runs(early: EarlyStart) -> None:
    process = create_agent(early)

    assert process.program.is_ready
