from __future__ import annotations

import pytest
from prometheus_client import CollectorRegistry

from oleanderweir.admin import ReadinessReason
from oleanderweir.console import ExitCode
from oleanderweir.console.process_metrics import ProcessMetrics
from oleanderweir_agent.drop_reason import DropReason as AgentDropReason
from oleanderweir_agent.metrics import AgentMetrics
from oleanderweir_balancer.drop_reason import DropReason as BalancerDropReason
from oleanderweir_balancer.metrics import BalancerMetrics
from tools.check import ROOT


PAGE = (ROOT / "docs" / "OPERATORS.md").read_text(encoding="utf-8")


def list_metrics() -> list[str]:
    registry = CollectorRegistry()
    ProcessMetrics(registry=registry)
    BalancerMetrics(registry=registry)
    AgentMetrics(registry=registry)
    return [
        f"{family.name}_total" if family.type == "counter" else family.name
        for family in registry.collect()
    ]


@pytest.mark.parametrize("metric", list_metrics())
def test_every_counter_is_explained(metric: str) -> None:
    assert f"| `{metric}` |" in PAGE


@pytest.mark.parametrize(
    "reason",
    [*BalancerDropReason, *AgentDropReason, *ReadinessReason],
    ids=lambda reason: f"{type(reason).__module__}-{reason.value}",
)
def test_every_reason_is_explained(
    reason: BalancerDropReason | AgentDropReason | ReadinessReason,
) -> None:
    assert f"| `{reason.value}` |" in PAGE


@pytest.mark.parametrize("code", list(ExitCode))
def test_every_exit_code_is_explained(code: ExitCode) -> None:
    assert f"\n| {code.value} | " in PAGE
