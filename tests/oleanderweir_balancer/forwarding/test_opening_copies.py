from __future__ import annotations

from oleanderweir.peering.messages import ReturnReason
from tests.oleanderweir.desired_state.fakes import backend_document
from tests.oleanderweir.flows.fakes import encode_packet
from tests.oleanderweir.flows.fakes import make_key
from tests.oleanderweir_balancer.forwarding.bench import BalancerBench


KEY = make_key(1)
COPY = encode_packet(KEY, is_opening=True, acknowledged=1)


async def test_refusals_of_a_copy_do_not_reset_a_flow_placed_by_another_balancer() -> (
    None
):
    bench = BalancerBench(hosts=tuple(f"10.0.0.{n}" for n in range(1, 7)))
    bench.publish()
    # The first opening packet took another balancer; its backend server is answering.
    bench.balancer.on_caller_packet(COPY)

    for _ in range(3):
        [(host, _)] = bench.deliveries()
        bench.return_packet(host, ReturnReason.FULL, COPY)

    assert bench.resets() == []


async def test_a_copy_without_a_ready_backend_server_does_not_reset_its_flow() -> None:
    bench = BalancerBench(hosts=("10.0.0.1",))
    draining = backend_document(host="10.0.0.1", state="draining")
    bench.publish(backends={"b0": draining})

    bench.balancer.on_caller_packet(COPY)

    assert bench.resets() == []
