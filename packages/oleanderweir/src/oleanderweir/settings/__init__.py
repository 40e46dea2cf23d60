"""Settings that every process has, and their validation."""

from __future__ import annotations

from oleanderweir.settings.exceptions import InvalidSettingError
from oleanderweir.settings.exceptions import InvalidTlsMaterialError
from oleanderweir.settings.log_level import LogLevel
from oleanderweir.settings.process_settings import ProcessSettings
from oleanderweir.settings.tls_material import TlsMaterial
from oleanderweir.settings.validators import check_distinct
from oleanderweir.settings.validators import check_host
from oleanderweir.settings.validators import check_name
from oleanderweir.settings.validators import flag_name


__all__ = [
    "InvalidSettingError",
    "InvalidTlsMaterialError",
    "LogLevel",
    "ProcessSettings",
    "TlsMaterial",
    "check_distinct",
    "check_host",
    "check_name",
    "flag_name",
]
