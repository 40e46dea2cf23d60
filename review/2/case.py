"""Three of six balancers lose power while a backend is drained."""

# ruff: noqa: ANN001, ANN002, ANN003, ANN201, ANN202, ANN204
from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s


BALANCERS = 6
KILLED = 3
# As the site file has it for `node_kill`.
DARK_S = 3.5
PORT = 8443
# Half of what three backends can serve, so that each of them gets its part.
INTERVAL_S = 0.01


async def find_readers(site, balancers, backend):
    """Return the balancers that read the entries of backends from the store."""
    # A reader may get a change from another one first, so several are needed.
    since = time.time()
    readers = []
    for number in range(40):
        entry = backend.entry(ColdRemainingMs=40 - number)
        await site.store.put(backend.key, entry, "(an ordinary change)")
        await asyncio.sleep(0.7)
        readers = [node for node in balancers if has_read(node, since)]
        if number >= 5 and len(readers) >= KILLED:
            break
    site.record.write(f"readers of the store: {[node.name for node in readers]}")
    return readers


def has_read(node, since):
    """Whether the log of a balancer shows a change that came from the store itself."""
    return any(
        line["topic"] == "backend_servers"
        and line["origin"] == "source"
        and line["time"] >= since
        for line in node.log_lines("state_changed")
    )


async def play(site):
    """Drain a backend right after the loss of power; return what broke the rule."""
    await site.store.put("op/config", s.desired_state(4, [s.route("r", PORT, "svc")]))
    backends = [site.backend(f"i-{n}", 100 + n, "svc") for n in range(3)]
    agents = [site.agent(f"side-{n}", 100 + n, "svc") for n in range(3)]
    balancers = [site.balancer(n) for n in range(BALANCERS)]
    for backend in backends:
        await backend.start()
    for node in agents + balancers:
        node.start()
    await s.wait_until_ready(balancers)
    client = site.client(0)
    await client.start()
    in_rotation = list(balancers)
    requests = set()

    async def send_requests():
        number = 0
        while True:
            number += 1
            node = in_rotation[number % len(in_rotation)]
            request = client.request(
                router=lambda node=node: node.data_address,
                route_port=PORT,
                identifier=f"q{number}",
            )
            requests.add(asyncio.create_task(request))
            await asyncio.sleep(INTERVAL_S)

    sending = asyncio.create_task(send_requests())
    await asyncio.sleep(8.0)
    readers = await find_readers(site, balancers, backends[0])
    if len(readers) != KILLED:
        raise s.NotRunError(f"{len(readers)} readers, expected {KILLED}")

    # The machines that the disruption leaves alone are in touch for the rest.
    lost = readers if s.has_trouble() else []
    in_rotation[:] = [node for node in balancers if node not in lost]
    await asyncio.sleep(0.5)
    for node in lost:
        node.kill()
    lost_at = time.monotonic()
    await asyncio.sleep(0.1)
    drained = backends[1]
    drained.state = "draining"
    acknowledged_at = await drained.publish()
    await asyncio.sleep(DARK_S - (time.monotonic() - lost_at))
    for node in lost:
        node.start()
    await asyncio.sleep(3.0)
    sending.cancel()
    await asyncio.gather(*requests)

    late = acknowledged_at + s.DRAIN_TIMEOUT_S
    taken = {key[1]: moment for moment, *key in drained.opened}
    broken = []
    for moment, port in sorted((m, p) for p, m in taken.items()):
        if moment > late:
            after = moment - acknowledged_at
            broken.append(
                f"DRAIN: {drained.identifier} took the flow from port {port} "
                f"{after:.2f} s after the store had acknowledged that it is draining"
            )
    runs = [run for run in drained.runs if run[0] > late]
    site.record.write(f"requests run there after the bound: {len(runs)}")
    return broken if runs else []


if __name__ == "__main__":
    s.run_case(play, Path(__file__).parent, seeds=3)
