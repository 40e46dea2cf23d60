from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

import pytest
import trio

from oleanderweir.flows import make_flow_key
from oleanderweir_bench.experiments.virtual_time import run_in_virtual_time
from oleanderweir_bench.packet_path import EmulatedSite
from oleanderweir_bench.packet_path import closing_caller
from oleanderweir_bench.packet_path.closing_caller import ClosingCaller
from oleanderweir_bench.packet_path.site_settings import CALLER_PORT
from oleanderweir_bench.packet_path.site_settings import ROUTE


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


HOST = "100.64.0.1"
KEY = make_flow_key(
    caller=bytes([100, 64, 0, 1]) + (1025).to_bytes(2, "big"), route=ROUTE
)


def make_caller(site: EmulatedSite) -> ClosingCaller:
    return ClosingCaller(
        host=HOST,
        route=ROUTE,
        port=CALLER_PORT,
        balancer_port=CALLER_PORT,
        network=site.network,
        router=site.router,
        codec=site.codec,
        result=site.result,
        holds_flow=site.backends.holds_flow,
        random_source=random.Random(1),
    )


async def use_port_again(
    backends: int,
    act: Callable[[EmulatedSite, ClosingCaller], Awaitable[None]],
    *,
    restarts_agent: bool = False,
    pause_s: float = 0.5,
    closes_elsewhere: bool = False,
) -> None:
    """
    Close a flow of a caller, and open another one of its port elsewhere.

    With ``restarts_agent``, the agent of the first flow is restarted before. With
    ``closes_elsewhere``, its final packet moves to the other balancer.
    """
    async with trio.open_nursery() as nursery:
        site = EmulatedSite(nursery=nursery, seed=1, balancers=2, backends=backends)
        caller = make_caller(site)
        first, second = site.balancer_hosts
        site.router.hosts = [first]
        await caller._request()
        owner = site.backends.find_owner(KEY)
        if restarts_agent:
            assert owner is not None
            site.stop_agent(owner)
            site.start_agent(owner)
        if closes_elsewhere:
            site.router.hosts = [second]
        caller._close()
        await trio.sleep(pause_s)
        for balancer in site.balancer_processes.running.values():
            balancer.expire()
        for running in site.agents.values():
            running.agent.expire()
        if backends > 1:
            assert owner is not None
            site.drain(owner)
        site.router.hosts = [second]
        await caller._request()
        site.router.hosts = [first]
        await act(site, caller)
        assert caller.caller_port == 1025
        nursery.cancel_scope.cancel()


@pytest.fixture(autouse=True)
def always_use_ports_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(closing_caller, "REUSE_SHARE", 1.0)


def test_a_balancer_that_cached_an_ended_flow_resets_no_later_flow_of_its_port() -> (
    None
):
    async def send_request(site: EmulatedSite, caller: ClosingCaller) -> None:
        await caller._request()
        assert site.result.false_resets == 0
        assert site.result.in_time == 3

    run_in_virtual_time(partial(use_port_again, 8, send_request), seed=1)


def test_a_flow_that_ended_after_a_restart_of_its_agent_resets_no_later_flow() -> None:
    async def send_request(site: EmulatedSite, caller: ClosingCaller) -> None:
        await caller._request()
        assert site.result.false_resets == 0
        assert site.result.in_time == 3

    run_in_virtual_time(
        partial(use_port_again, 8, send_request, restarts_agent=True), seed=1
    )


def test_a_balancer_that_cached_an_ended_flow_closes_a_later_flow_of_its_port() -> None:
    async def close(site: EmulatedSite, caller: ClosingCaller) -> None:
        caller._close()
        await trio.sleep(1.0)
        assert not caller.closing
        assert not site.backends.holds_flow(KEY)

    run_in_virtual_time(partial(use_port_again, 8, close), seed=1)


def test_a_port_is_used_again_at_the_backend_server_of_its_ended_flow() -> None:
    async def send_request(site: EmulatedSite, caller: ClosingCaller) -> None:
        await caller._request()
        assert site.result.in_time == 3

    run_in_virtual_time(partial(use_port_again, 1, send_request), seed=1)


def test_a_flow_is_closed_long_after_an_earlier_flow_of_its_port_ended() -> None:
    async def close(site: EmulatedSite, caller: ClosingCaller) -> None:
        caller._close()
        await trio.sleep(1.0)
        assert not caller.closing
        assert not site.backends.holds_flow(KEY)

    run_in_virtual_time(partial(use_port_again, 8, close, pause_s=6.0), seed=1)


def test_a_flow_is_closed_after_an_earlier_one_of_its_port_was_closed_elsewhere() -> (
    None
):
    async def close(site: EmulatedSite, caller: ClosingCaller) -> None:
        caller._close()
        await trio.sleep(1.0)
        assert not caller.closing
        assert not site.backends.holds_flow(KEY)

    run_in_virtual_time(
        partial(use_port_again, 8, close, pause_s=6.0, closes_elsewhere=True), seed=1
    )
