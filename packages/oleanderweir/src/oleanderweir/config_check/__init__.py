"""Checks of a configuration before it is published; no input or output."""

from __future__ import annotations

from oleanderweir.config_check.comparison import compare
from oleanderweir.config_check.config_checker import check_configuration
from oleanderweir.config_check.config_draft import ConfigDraft
from oleanderweir.config_check.finding import Finding
from oleanderweir.config_check.finding_code import FindingCode
from oleanderweir.config_check.service_limits import ServiceLimits
from oleanderweir.config_check.severity import Severity


__all__ = [
    "ConfigDraft",
    "Finding",
    "FindingCode",
    "ServiceLimits",
    "Severity",
    "check_configuration",
    "compare",
]
