#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10: they are Python and need no
# build, so this only checks that they load with what the deploy file's build
# has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c "from review.harness2 import deployment, worker"
