#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: Python modules without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py [0-9]*/*.py
