#!/usr/bin/env bash
# Builds the stand-ins. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]
