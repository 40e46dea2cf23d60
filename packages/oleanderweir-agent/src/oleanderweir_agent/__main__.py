"""Runs the command line as ``python -m oleanderweir_agent``."""

from __future__ import annotations

from oleanderweir_agent.console.application import main


if __name__ == "__main__":
    main()
