from __future__ import annotations

import pytest
from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge

from oleanderweir.admin import ReadinessReason
from oleanderweir.config_check import FindingCode
from oleanderweir.configuration_service import metrics as configuration_metrics
from oleanderweir.console import ExitCode
from oleanderweir.console.process_metrics import ProcessMetrics
from oleanderweir.replication import metrics as replication_metrics
from oleanderweir.tickets import metrics as ticket_metrics
from oleanderweir_agent.drop_reason import DropReason as AgentDropReason
from oleanderweir_agent.metrics import AgentMetrics
from oleanderweir_agent.verdicts import RequestMetrics
from oleanderweir_balancer.drop_reason import DropReason as BalancerDropReason
from oleanderweir_balancer.metrics import BalancerMetrics
from tools.check import ROOT


PAGE = (ROOT / "docs" / "OPERATORS.md").read_text(encoding="utf-8")


def list_metrics() -> list[str]:
    registry = CollectorRegistry()
    ProcessMetrics(registry=registry)
    BalancerMetrics(registry=registry)
    AgentMetrics(registry=registry)
    RequestMetrics(registry=registry)
    for module in (replication_metrics, ticket_metrics, configuration_metrics):
        for metric in vars(module).values():
            if isinstance(metric, Counter | Gauge):
                registry.register(metric)
    return sorted(
        f"{family.name}_total" if family.type == "counter" else family.name
        for family in registry.collect()
    )


@pytest.mark.parametrize("metric", list_metrics())
def test_every_metric_is_explained(metric: str) -> None:
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


@pytest.mark.parametrize("code", list(FindingCode))
def test_every_finding_of_a_configuration_is_explained(code: FindingCode) -> None:
    assert f"\n| `{code.value}`" in PAGE or f", `{code.value}`" in PAGE
