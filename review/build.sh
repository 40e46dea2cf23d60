#!/bin/sh
# The stand-ins are plain Python without dependencies: this only checks that they load.
cd "$(dirname "$0")" && exec python3 -B -c "import standins"
