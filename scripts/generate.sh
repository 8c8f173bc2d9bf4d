#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code; the build itself does not run flatc.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums --filename-suffix _generated \
  -o libs/membership/src/details libs/membership/schema/membership.fbs
flatc --cpp --scoped-enums --filename-suffix _generated \
  -o libs/peer/src/details libs/peer/schema/peer.fbs
