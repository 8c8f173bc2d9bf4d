#!/usr/bin/env bash
# Measures all per-unit costs on which docs/CAPACITY.md is based: the
# micro-benchmarks (memory per organisation; CPU time per settings lookup,
# configuration change, upstream choice and claim; membership traffic, CPU time
# and memory by fleet size; store calls per request and change), the CPU time of
# a daemon per request, stage and streamed token (scenario "slopes"), and the CPU
# time and latency per request through the gateway compared with direct calls
# (scenario "overhead").
# Output: build/capacity/*.json and a text summary on standard output.
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
