"""
What a process does before it loads its libraries.

After a loss of all power every process loads them at once, for up to a second on a
small instance, while callers send on. Nothing here may import more than the standard
library's ``socket``.
"""

from __future__ import annotations

from oleanderweir.early_start.early_socket import bind_udp_early


__all__ = ["bind_udp_early"]
