"""Random changes and delays of the published state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from oleanderweir.desired_state import DesiredState
from oleanderweir_bench.packet_path.routes import make_route
from oleanderweir_bench.packet_path.site_settings import OTHER_SERVICE
from oleanderweir_bench.packet_path.site_settings import ROUTE
from oleanderweir_bench.packet_path.site_settings import SERVICE


if TYPE_CHECKING:
    import random

    from oleanderweir_bench.packet_path.emulated_site import EmulatedSite


# A route that moves between the services, and one that is removed and added.
MOVING_ROUTE = bytes([198, 18, 0, 2]) + (443).to_bytes(2, "big")
REMOVED_ROUTE = bytes([198, 18, 0, 3]) + (443).to_bytes(2, "big")


class StateChanges:
    """Moves and removes routes, and delays changes; they overlap all faults."""

    def __init__(self, *, site: EmulatedSite, random_source: random.Random) -> None:
        self.site = site
        self.random_source = random_source

    async def lag(self) -> None:
        """Let a process get changes of the published state late."""
        hosts = [*self.site.balancer_hosts, *self.site.agent_hosts]
        host = self.random_source.choice(hosts)
        self.site.published.extra_lag_s[host] = self.random_source.uniform(0.2, 2.0)
        await trio.sleep(self.random_source.uniform(1.0, 6.0))
        self.site.published.extra_lag_s.pop(host, None)

    async def move_route(self) -> None:
        """Move a route to another service, and back."""
        self.publish_routes(moving_service=OTHER_SERVICE, has_removed=True)
        await trio.sleep(self.random_source.uniform(0.5, 4.0))
        self.publish_routes(moving_service=SERVICE, has_removed=True)

    async def remove_route(self) -> None:
        """Remove a route, and add it again."""
        self.publish_routes(moving_service=SERVICE, has_removed=False)
        await trio.sleep(self.random_source.uniform(0.5, 4.0))
        self.publish_routes(moving_service=SERVICE, has_removed=True)

    def publish_routes(self, *, moving_service: str, has_removed: bool) -> None:
        """Publish the routes in a new version."""
        services = {ROUTE: SERVICE, MOVING_ROUTE: moving_service}
        if has_removed:
            services[REMOVED_ROUTE] = SERVICE
        routes = {
            address: make_route(
                address, service, is_idempotent=self.site.max_hedged_share > 0
            )
            for address, service in services.items()
        }
        allowed = self.site.backends.allowed_services
        for address, service in services.items():
            allowed.setdefault(address, set()).add(service)
        desired = self.site.published.desired
        self.site.published.write_desired(
            DesiredState(
                version=desired.version + 1,
                routes=routes,
                idle_timeout_s=desired.idle_timeout_s,
            )
        )
