"""
Executes a command that the kernel kills when the parent of this process dies.

Run as a script with the command as arguments. It imports little to start quickly.
"""

from __future__ import annotations

import ctypes
import os
import signal
import sys


PR_SET_PDEATHSIG = 1


def main() -> None:
    """Have Linux kill this process when its parent dies, then exec the command."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    os.execv(sys.argv[1], sys.argv[1:])


if __name__ == "__main__":
    main()
