"""The stand-ins for the platform in a replication experiment."""

from __future__ import annotations

import functools
import json
from typing import TYPE_CHECKING

import attrs

from oleanderweir_bench.platform import ConfigurationServiceStandIn
from oleanderweir_bench.platform import serve_application
from oleanderweir_bench.replication.node import LOOPBACK


if TYPE_CHECKING:
    import trio


@attrs.frozen(kw_only=True)
class PlatformStandIns:
    """A configuration service that publishes tickets and one that lists instances."""

    configuration: ConfigurationServiceStandIn = attrs.field(
        factory=ConfigurationServiceStandIn
    )
    instances: ConfigurationServiceStandIn = attrs.field(
        factory=ConfigurationServiceStandIn
    )

    @property
    def newest_ticket(self) -> int:
        """The number of the newest ticket."""
        return self.configuration.state.highest_ticket

    @property
    def waiting_watches(self) -> int:
        """The number of watches of the configuration that wait for a ticket."""
        return self.configuration.meter.waiting_watches

    @property
    def peak_reads_per_s(self) -> int:
        """The higher of the stand-ins' peak reads per second."""
        return max(
            self.configuration.meter.peak_reads_per_s,
            self.instances.meter.peak_reads_per_s,
        )

    def count_calls(self) -> int:
        """Return the number of calls to both stand-ins so far."""
        meters = (self.configuration.meter, self.instances.meter)
        return sum(sum(meter.calls.values()) for meter in meters)

    def publish(self, service_count: int = 1) -> int:
        """Publish the next ticket, with new services; return its number."""
        number = self.newest_ticket + 1
        names = [f"service-{number}-{n}" for n in range(service_count)]
        return self.configuration.state.publish(make_ticket(number, names))


def make_ticket(number: int, service_names: list[str]) -> str:
    """Return a ticket with the named services as JSON text."""
    services = {
        name: {
            "address": f"10.{number % 250}.{index // 250}.{index % 250 + 1}:443",
            "request_timeout_s": 10.0,
            "retry_ratio": 0.1,
            "feed_paths": ["/ticks", "/feed"],
        }
        for index, name in enumerate(service_names)
    }
    return json.dumps({"ticket": number, "services": services})


async def serve_stand_in(
    stand_in: ConfigurationServiceStandIn, nursery: trio.Nursery
) -> str:
    """Serve a stand-in on a free port of the loopback address; return its URL."""
    serve = functools.partial(
        serve_application, stand_in.application, host=LOOPBACK, port=0
    )
    address = await nursery.start(serve)
    return f"http://{address}"
