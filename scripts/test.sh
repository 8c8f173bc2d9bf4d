#!/usr/bin/env bash
# Builds all targets and runs all tests (Catch2 and rapidcheck) with ctest.
# Randomised tests use a fixed seed unless RC_PARAMS is set; the script prints
# the seed.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${RC_PARAMS:=seed=20261202 max_success=200}"
export RC_PARAMS
echo "rapidcheck: RC_PARAMS=\"$RC_PARAMS\""
started=$SECONDS
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build -j"$(nproc)"
echo "== build took $((SECONDS - started)) s"

# Skips and prints the tests listed in KNOWN-RED.txt, and no other tests.
known_red=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known_red < <(grep -vE '^(#|$)' KNOWN-RED.txt)
fi
passed_over=()
# Entries of issue 73 do not count against the limit.
counted=$(printf '%s\n' "${known_red[@]}" | grep -cv '| issue 73$' || true)
if [ "$counted" -gt 3 ]; then
  echo "KNOWN-RED.txt: $counted entries, three at most"
  exit 1
fi
if [ "${#known_red[@]}" -gt 0 ]; then
  printf 'known red, not run: %s\n' "${known_red[@]}"
  names=$(printf '%s\n' "${known_red[@]}" | sed 's/ *|.*//' | paste -sd'|')
  passed_over=(-E "^(${names})\$")
fi
started=$SECONDS
cd build
ctest --output-on-failure -j"$(nproc)" "${passed_over[@]}"
echo "== tests took $((SECONDS - started)) s"
