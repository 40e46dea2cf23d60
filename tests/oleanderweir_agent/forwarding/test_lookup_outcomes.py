from __future__ import annotations

import trio
import trio.testing

from oleanderweir.desired_state import REMOVAL_GRACE_S
from oleanderweir.desired_state import Topic
from oleanderweir.peering.messages import Delivery
from oleanderweir.peering.messages import DeliveryPurpose
from oleanderweir.peering.messages import ReturnedPacket
from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.desired_state.fakes import publish
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_agent.forwarding.bench import AgentBench


KEY = make_key(1)
REQUEST = encode_packet(KEY, payload_bytes=900, acknowledged=6)
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
DENIAL = ReturnedPacket(reason=ReturnReason.NOT_HELD, data=REQUEST)


async def test_a_failed_lookup_denies_no_backend_server_that_was_published_since() -> (
    None
):
    bench = AgentBench()
    backends = {f"b{host}": backend_document(host=host) for host in HOSTS}
    publish(bench.register, backends=backends)
    known = bench.register.changed_revision(Topic.BACKEND_SERVERS)
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST, version=known + 1)
    for host in HOSTS:
        bench.agent.on_message(host, DENIAL)
    backends["owner"] = backend_document(host="10.0.0.4")
    publish(bench.register, backends=backends, revision=known + 1)
    bench.to_peers()

    # Another balancer delegates its lookup of the flow.
    query = Delivery(
        purpose=DeliveryPurpose.DELEGATED_LOOKUP, version=known + 1, data=REQUEST
    )
    bench.agent.on_message("10.0.9.2", query)

    queried = {address[0] for _, address in bench.peer_socket.sent}
    assert "10.0.0.4" in queried
    assert "10.0.9.2" not in queried


async def test_a_failed_lookup_denies_no_backend_server_published_for_the_balancer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    bench = AgentBench()
    backends = {f"b{host}": backend_document(host=host) for host in HOSTS}
    publish(bench.register, backends=backends)
    del backends["b10.0.0.3"]
    publish(bench.register, backends=backends, revision=20)

    # The balancer doesn't know yet that an entry lapsed: the result doesn't cover it.
    held_nowhere = ReturnedPacket(
        reason=ReturnReason.HELD_NOWHERE, data=REQUEST, hosts=HOSTS[:2]
    )
    _fail_lookup(bench, version=10)
    results = [m for m in bench.to_peers() if isinstance(m, ReturnedPacket)]
    assert results == [held_nowhere]

    _fail_lookup(bench, version=20)
    assert held_nowhere in bench.to_peers()

    await trio.sleep(REMOVAL_GRACE_S + 0.1)
    _fail_lookup(bench, version=10)
    assert held_nowhere in bench.to_peers()


def _fail_lookup(bench: AgentBench, *, version: int) -> None:
    bench.deliver(DeliveryPurpose.DELEGATED_LOOKUP, REQUEST, version=version)
    for host in HOSTS[:2]:
        bench.agent.on_message(host, DENIAL)
