"""The start-up parameters of a worker."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class WorkerPlan:
    """URLs of the platform stand-ins and paths of the peer TLS files."""

    configuration_url: str
    instance_list_url: str
    certificate_path: str
    key_path: str
    authority_path: str
