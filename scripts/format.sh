#!/usr/bin/env bash
# Formats every tracked C++ file in place (CI checks the same set).
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cc' '*.h' | grep -v '_generated.h$' | xargs clang-format -i
