"""What a worker is told when it starts."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class WorkerPlan:
    """Where the platform's stand-ins are, and the files that prove a peer."""

    configuration_url: str
    instance_list_url: str
    certificate_path: str
    key_path: str
    authority_path: str
