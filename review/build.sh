#!/usr/bin/env bash
# Builds every stand-in that the scripts start. They are Python programs, which
# need Python 3.11 or newer and its standard library only: nothing is compiled
# beyond a check that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - harness/*.py */run.py <<'CHECK'
import ast
import asyncio  # noqa: F401
import sys
import tomllib  # noqa: F401

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
