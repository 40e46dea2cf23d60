"""
The part of the start that runs before a process imports its libraries.

After a loss of all power, all processes import them at the same time, which takes up to
a second on a small instance, while callers keep sending packets. Modules of this
package may import only ``socket`` from the standard library.
"""

from __future__ import annotations

from oleanderweir.early_start.early_socket import bind_udp_early


__all__ = ["bind_udp_early"]
