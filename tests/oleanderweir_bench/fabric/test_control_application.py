from __future__ import annotations

import random

import httpx
import pytest

from oleanderweir.net import SocketAddress
from oleanderweir_bench.fabric import Conditions
from oleanderweir_bench.fabric import ControlApplication
from oleanderweir_bench.fabric import FabricStandIn


def create_fabric(address: str) -> FabricStandIn:
    return FabricStandIn(
        service_address=SocketAddress.parse(address), random=random.Random(1)
    )


def open_client(fabrics: list[FabricStandIn]) -> httpx.AsyncClient:
    transport = httpx.ASGITransport(app=ControlApplication(fabrics=fabrics).asgi)
    return httpx.AsyncClient(transport=transport, base_url="http://fabric")


async def test_balancer_is_added_to_and_removed_from_every_service_address() -> None:
    fabrics = [create_fabric("127.0.0.1:4433"), create_fabric("127.0.0.1:4434")]
    async with open_client(fabrics) as client:
        await client.put("/balancers/127.0.2.1")
        shown = (await client.get("/balancers")).json()
        await client.delete("/balancers/127.0.2.1")

    assert shown == {
        "127.0.0.1:4433": ["127.0.2.1:4433"],
        "127.0.0.1:4434": ["127.0.2.1:4434"],
    }
    assert [fabric.balancers for fabric in fabrics] == [[], []]


async def test_conditions_are_set() -> None:
    fabric = create_fabric("127.0.0.1:4433")
    async with open_client([fabric]) as client:
        response = await client.put("/conditions", json={"loss": 0.1})

    assert response.status_code == 200
    assert fabric.conditions == Conditions(loss=0.1)


@pytest.mark.parametrize(
    "body",
    [b"{", b'{"loss": 2}', b'{"unknown": 1}', b"[]"],
    ids=["invalid-json", "out-of-range", "unknown-field", "not-an-object"],
)
async def test_invalid_conditions_are_rejected(body: bytes) -> None:
    fabric = create_fabric("127.0.0.1:4433")
    async with open_client([fabric]) as client:
        response = await client.put("/conditions", content=body)

    assert response.status_code == 400
    assert fabric.conditions == Conditions()
