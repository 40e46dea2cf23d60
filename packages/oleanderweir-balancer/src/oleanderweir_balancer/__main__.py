"""Runs the command line as ``python -m oleanderweir_balancer``."""

from __future__ import annotations

from oleanderweir_balancer.console.application import main


if __name__ == "__main__":
    main()
