from __future__ import annotations

import httpx
import pytest
import trio
from prometheus_client import CollectorRegistry
from prometheus_client import Counter

from oleanderweir.admin import AdminServer
from oleanderweir.admin import ProcessStatus
from oleanderweir.admin import Readiness
from oleanderweir.admin import bind_tcp_socket
from oleanderweir.net import AddressInUseError
from oleanderweir.net import SocketAddress
from tests.oleanderweir.helpers_admin import find_free_address


class FakeProcess:
    is_ready = False


def create_server(address: SocketAddress, readiness: Readiness) -> AdminServer:
    registry = CollectorRegistry()
    Counter("oleanderweir_test", "A counter.", registry=registry).inc()

    def read_status() -> ProcessStatus:
        return ProcessStatus(
            role="balancer",
            version="0.1.0",
            instance_name="node-1",
            availability_zone="scl-a",
            region="scl",
            uptime_s=1.5,
            is_ready=readiness.is_ready,
            reasons=tuple(readiness.reasons()),
        )

    return AdminServer(address=address, registries=[registry], read_status=read_status)


async def test_responses_follow_readiness_and_cancellation_frees_the_address() -> None:
    address = find_free_address()
    readiness = Readiness()
    process = FakeProcess()
    with trio.fail_after(10):
        async with (
            trio.open_nursery() as nursery,
            httpx.AsyncClient(base_url=f"http://{address}") as client,
        ):
            await nursery.start(create_server(address, readiness).run)
            starting = await client.get("/ready")
            readiness.source = process
            waiting = await client.get("/ready")
            process.is_ready = True
            ready = await client.get("/ready")
            readiness.is_shutting_down = True
            status = await client.get("/status")
            live = await client.get("/live")
            metrics = await client.get("/metrics")
            nursery.cancel_scope.cancel()

    assert (starting.status_code, starting.json()["reasons"]) == (503, ["starting"])
    assert (waiting.status_code, waiting.json()["reasons"]) == (503, ["not_configured"])
    assert (ready.status_code, ready.json()["is_ready"]) == (200, True)
    assert status.json()["reasons"] == ["shutting_down"]
    assert live.status_code == 200
    assert "oleanderweir_test_total 1.0" in metrics.text
    with bind_tcp_socket(address):
        pass


async def test_a_port_in_use_raises_an_error_with_a_remedy() -> None:
    with bind_tcp_socket(SocketAddress(host="127.0.0.1", port=0)) as bound:
        bound.listen()
        address = SocketAddress(host="127.0.0.1", port=bound.getsockname()[1])
        server = create_server(address, Readiness())

        with pytest.raises(AddressInUseError, match="choose another address"):
            await server.run(task_status=trio.TASK_STATUS_IGNORED)
