"""Run the bench: ``python -m oleanderweir_bench COMMAND``."""

from __future__ import annotations

from oleanderweir_bench.console import application


if __name__ == "__main__":
    application()
