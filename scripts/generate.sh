#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code; needs Debian's flatbuffers-compiler. The build does not.
set -euo pipefail
cd "$(dirname "$0")/../coordination"
flatc --cpp --gen-object-api --gen-name-strings --scoped-enums peer.fbs stored.fbs
