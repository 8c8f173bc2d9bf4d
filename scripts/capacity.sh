#!/usr/bin/env bash
# Re-measures every slope docs/CAPACITY.md is computed from, in one run:
# the micro-benchmarks (memory per organisation, CPU per resolve, per config
# change, per pick, per claim; membership traffic, CPU and memory by fleet
# size; store calls per request and change), a daemon's own CPU per request,
# stage and streamed token (slopes) and the
# load tool's gateway-vs-direct run (CPU and latency per request).
# Output: build/capacity/*.json and a text summary on stdout.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build -j"$(nproc)" >/dev/null
mkdir -p build/capacity
build/bench/capacity_bench --benchmark_out=build/capacity/bench.json --benchmark_out_format=json
build/tools/turmericctl/turmericctl load --scenario=overhead --requests=1000 \
  --concurrency=12 --report=build/capacity/overhead.json
scripts/fleet.sh 4 --scenario=slopes --requests=800 \
  --report=build/capacity/slopes.json
