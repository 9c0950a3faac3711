#!/usr/bin/env bash
# Checks that the stand-ins of the second review can be loaded. They are Python and need
# nothing but what the deploy file's build has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -c '
import importlib
for name in ("deployment", "crashing", "poison", "slow_reader"):
    importlib.import_module(f"review.stand_ins_2.{name}")
print("the stand-ins of the second review can be loaded")
'
