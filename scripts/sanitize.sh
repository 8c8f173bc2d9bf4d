#!/usr/bin/env bash
# Runs the tests of the request path with the address and undefined-behaviour
# sanitizers, in the separate build folder build-sanitize.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitize -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS="-fsanitize=address,undefined -fno-omit-frame-pointer" >/dev/null
cmake --build build-sanitize -j"$(nproc)" --target \
  http_test routing_test stages_test peer_test entry_test platform_path_test
# Disables leak detection, because static objects of Qt are not freed before the
# process exits.
export ASAN_OPTIONS=detect_leaks=0
: "${RC_PARAMS:=seed=20261202 max_success=200}"
export RC_PARAMS
for test in http routing stages peer entry; do
  "build-sanitize/libs/$test/${test}_test"
done
build-sanitize/platform/platform_path_test
