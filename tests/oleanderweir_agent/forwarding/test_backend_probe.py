from __future__ import annotations

import socket

from oleanderweir.net import SocketAddress
from oleanderweir_agent.forwarding import BackendProbe
from oleanderweir_agent.forwarding import ProbeOutcome


async def test_a_listener_accepts_and_a_closed_port_refuses() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        host, port = listener.getsockname()
        probe = BackendProbe(address=SocketAddress(host=host, port=port))
        assert await probe.probe() is ProbeOutcome.ACCEPTED

    assert await probe.probe() is ProbeOutcome.REFUSED
