"""The request rate that backend servers of a service bear in their cold start."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ColdStartLimit:
    """
    What operators configure for the cold start of a service's backend servers.

    For ``duration_s`` seconds after its start, a backend server bears ``rate_per_s``
    requests a second. Both are above 0.
    """

    rate_per_s: float
    duration_s: float
