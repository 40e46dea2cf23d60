"""Starting, freezing and stopping processes."""

from __future__ import annotations

from oleanderweir_bench.processes.output_line import OutputLine
from oleanderweir_bench.processes.process_supervisor import ProcessSupervisor
from oleanderweir_bench.processes.supervised_process import SupervisedProcess


__all__ = ["OutputLine", "ProcessSupervisor", "SupervisedProcess"]
