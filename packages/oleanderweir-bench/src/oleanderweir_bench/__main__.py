"""Run the bench: ``python -m oleanderweir_bench VERB``."""

from __future__ import annotations

from oleanderweir_bench.console import application


if __name__ == "__main__":
    application()
