#!/usr/bin/env bash
# Regenerates committed FlatBuffers code; the build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums --filename-suffix _generated \
  -o libs/membership/src/details libs/membership/schema/membership.fbs
flatc --cpp --scoped-enums --filename-suffix _generated \
  -o libs/peer/src/details libs/peer/schema/peer.fbs
