from __future__ import annotations

import socket

from oleanderweir.net import SocketAddress
from oleanderweir_agent.forwarding import BackendProbe


async def test_a_listener_is_not_gone_and_a_closed_port_is() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        host, port = listener.getsockname()
        probe = BackendProbe(address=SocketAddress(host=host, port=port))
        assert not await probe.is_refused()

    assert await probe.is_refused()
