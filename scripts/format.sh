#!/usr/bin/env bash
# Formats all C++ files in place, tracked or not yet added, except generated ones.
# CI checks the tracked files.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '_generated.h$' | xargs clang-format -i
