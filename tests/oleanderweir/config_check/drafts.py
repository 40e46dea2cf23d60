from __future__ import annotations

from typing import Any

from oleanderweir.config_check import ConfigDraft
from oleanderweir.config_check import Finding
from oleanderweir.config_check import FindingCode
from oleanderweir.config_check import ServiceLimits
from oleanderweir.desired_state import Route
from oleanderweir.desired_state import ServiceShare


def make_address(host: int = 1, port: int = 443) -> bytes:
    return bytes([198, 18, 0, host]) + port.to_bytes(2, "big")


def make_shares(**weights: int) -> tuple[ServiceShare, ...]:
    return tuple(ServiceShare(service=s, weight=w) for s, w in weights.items())


def make_route(**changes: Any) -> Route:
    fields: dict[str, Any] = {
        "name": "r1",
        "address": make_address(),
        "shares": make_shares(feed=1),
        "timeout_s": 2.0,
        "target_latency_s": 0.2,
        "priority": 1,
    }
    return Route(**{**fields, **changes})


def make_draft(*routes: Route, **changes: Any) -> ConfigDraft:
    fields: dict[str, Any] = {
        "version": 7,
        "routes": routes or (make_route(),),
        "services": (ServiceLimits(name="feed", connection_limit=100),),
        "idle_timeout_s": 15.0,
    }
    return ConfigDraft(**{**fields, **changes})


def codes_of(findings: list[Finding]) -> list[FindingCode]:
    return [finding.code for finding in findings]
