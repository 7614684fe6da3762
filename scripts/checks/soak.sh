#!/usr/bin/env bash
# Runs the soak test with seed 1 and with every seed that has ever found a fault (soak/seeds.txt). Needs the build.
set -euo pipefail
cd "$(dirname "$0")/../.."
mapfile -t seeds < <(grep -vE '^(#|$)' soak/seeds.txt | cut -d' ' -f1)
scripts/soak.sh 1 "${seeds[@]}"
