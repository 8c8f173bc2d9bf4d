#!/usr/bin/env bash
# Runs clang-tidy (.clang-tidy) over every source file; fails on any finding.
# Needs a configured build directory (compile_commands.json).
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
git ls-files '*.cc' | grep -v '_generated' |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet \
    --header-filter="/(libs|tools|bench|platform)/" >"$out" 2>/dev/null || true
if grep -E '(warning|error):' "$out" | sort -u; then
  echo "== clang-tidy: findings above"
  exit 1
fi
echo "== clang-tidy clean"
