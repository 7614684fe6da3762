#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code. Needs Debian's flatbuffers-compiler, which the build does not need.
set -euo pipefail
cd "$(dirname "$0")/../coordination"
flatc --cpp --gen-object-api --gen-name-strings --scoped-enums peer.fbs stored.fbs
