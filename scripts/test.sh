#!/usr/bin/env bash
# Builds the workspace and runs every test (Catch2 + rapidcheck via ctest).
# Randomised tests use a fixed seed unless RC_PARAMS is set; the seed is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${RC_PARAMS:=seed=20261202 max_success=200}"
export RC_PARAMS
echo "rapidcheck: RC_PARAMS=\"$RC_PARAMS\""
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build -j"$(nproc)"
cd build
ctest --output-on-failure -j"$(nproc)"
