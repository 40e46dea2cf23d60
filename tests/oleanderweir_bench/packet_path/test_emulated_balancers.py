from __future__ import annotations

import trio

from oleanderweir.flows import make_flow_key
from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path import EmulatedSite
from oleanderweir_bench.packet_path import encode_packet
from oleanderweir_bench.packet_path.site_settings import CALLER_PORT
from oleanderweir_bench.packet_path.site_settings import ROUTE


CALLER = "100.64.0.1"
KEY = make_flow_key(
    caller=bytes([100, 64, 0, 1]) + (1025).to_bytes(2, "big"), route=ROUTE
)
OPENING = encode_packet(KEY, is_opening=True)
START_S = 1.5


def record_senders(site: EmulatedSite, addressee: str = "") -> list[str]:
    """Return a list of the senders of all datagrams from now on, to one host or all."""
    senders: list[str] = []

    def on_send(source: str, data: bytes, address: tuple[str, int]) -> None:
        del data
        if addressee in ("", address[0]):
            senders.append(source)

    site.network.on_send = on_send
    return senders


async def kill_balancer_before_its_listing() -> bool:
    """Kill a balancer with a queued opening; return whether it sends anything then."""
    async with trio.open_nursery() as nursery:
        site = EmulatedSite(nursery=nursery, seed=1, runs_programs=True)
        host = site.balancer_hosts[0]
        await trio.sleep(START_S)
        site.stop_balancer(host)
        # Only its own listing, which is late, brings the published state.
        site.published.extra_lag_s[host] = 1.0
        peers = [*site.balancer_hosts, *site.agent_hosts]
        site.network.cuts.update(frozenset((host, peer)) for peer in peers)
        site.start_balancer(host)
        site.network.send(CALLER, OPENING, (host, CALLER_PORT))
        await trio.sleep(0.05)
        site.stop_balancer(host)
        senders = record_senders(site)
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    return host in senders


async def pause_balancer_without_backends() -> bool:
    """Let an opening wait in a socket; return whether its caller gets anything."""
    async with trio.open_nursery() as nursery:
        site = EmulatedSite(nursery=nursery, seed=1, runs_programs=True)
        host = site.balancer_hosts[0]
        await trio.sleep(START_S)
        site.published.records.clear()
        site.published.publish()
        nursery.start_soon(site.balancer_processes.pause, host, 1.0)
        await trio.sleep(0.1)
        senders = record_senders(site, addressee=CALLER)
        site.network.send(CALLER, OPENING, (host, CALLER_PORT))
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    return bool(senders)


def test_a_killed_balancer_gets_no_state_and_sends_nothing() -> None:
    assert not run_in_virtual_time(kill_balancer_before_its_listing, seed=1)


def test_an_opening_that_waited_in_a_socket_resets_no_flow() -> None:
    assert not run_in_virtual_time(pause_balancer_without_backends, seed=1)
