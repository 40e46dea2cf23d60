"""The address of a lost backend is used again by a backend of another service."""

# ruff: noqa: ANN001, ANN002, ANN003, ANN201, ANN202, ANN204
from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s


PORT_A, PORT_B = 8443, 8080
BACKENDS = 3  # of each service; one of A is lost
BALANCERS = 3
LOST_MACHINE, SPARE_MACHINE = 100, 130
ROUNDS = 3
ROUND_S = 5.0
# With four slots, three backends of A serve 100 requests a second; they get 90.
WORK_S = (0.1, 0.14)
INTERVAL_S = 0.01


async def play(site):
    """Replace a backend of A by one of B; return what broke the rule."""
    routes = [s.route("a", PORT_A, "svc-a"), s.route("b", PORT_B, "svc-b")]
    await site.store.put("op/config", s.desired_state(4, routes))
    backends, agents = [], []
    for service, first in (("svc-a", LOST_MACHINE), ("svc-b", LOST_MACHINE + 10)):
        for machine in range(first, first + BACKENDS):
            backends.append(site.backend(f"i-{machine}", machine, service))
            agents.append(site.agent(f"side-{machine}", machine, service))
    balancers = [site.balancer(number) for number in range(BALANCERS)]
    for backend in backends:
        backend.work_s = WORK_S
        await backend.start()
    for node in (*agents, *balancers):
        node.start()
    await s.wait_until_ready(balancers)
    client = site.client(0)
    await client.start()
    requests = set()

    async def send_requests():
        number = 0
        started_at = time.monotonic()
        while True:
            number += 1
            node = balancers[number % BALANCERS]
            request = client.request(
                router=lambda node=node: node.data_address,
                route_port=PORT_B if number % 10 == 0 else PORT_A,
                identifier=f"q{number}",
            )
            requests.add(asyncio.create_task(request))
            due_at = started_at + number * INTERVAL_S
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))

    sending = asyncio.create_task(send_requests())
    await asyncio.sleep(8.0)

    started = list(backends)
    for number in range(ROUNDS):
        lost_at = time.monotonic()
        if s.has_trouble():
            await backends[number].crash()
            agents[number].kill()
            site.record.write(f"round {number}: a backend of A is lost")
        await asyncio.sleep(s.REUSE_AFTER_S - (time.monotonic() - lost_at))
        machine = LOST_MACHINE + number if s.has_trouble() else SPARE_MACHINE + number
        started.append(await start_backend(site, machine, "svc-b"))
        # The service that has lost a backend gets another one, elsewhere.
        machine = SPARE_MACHINE + ROUNDS + number
        started.append(await start_backend(site, machine, "svc-a"))
        await asyncio.sleep(ROUND_S)
    sending.cancel()
    await asyncio.gather(*requests)
    return find_broken(started)


async def start_backend(site, machine, service):
    """Start a backend and its agent at a machine; return the backend."""
    backend = site.backend(f"i-{machine}-{service}", machine, service)
    backend.work_s = WORK_S
    site.agent(f"side-{machine}-{service}", machine, service).start()
    await backend.start()
    return backend


def find_broken(backends):
    """Return the requests that a backend of another service ran."""
    broken = []
    for backend in backends:
        for _, identifier, port in backend.runs:
            if (port == PORT_A) != (backend.service == "svc-a"):
                broken.append(
                    f"ROUTE: {backend.identifier} of {backend.service} ran request "
                    f"{identifier} of the other service"
                )
    return broken


if __name__ == "__main__":
    s.run_case(play, Path(__file__).parent, seeds=3)
