#!/usr/bin/env bash
# Plays seed 1 of the fault soak and every seed that ever failed. Needs the build.
set -euo pipefail
cd "$(dirname "$0")/../.."
mapfile -t seeds < <(grep -vE '^(#|$)' soak/seeds.txt | cut -d' ' -f1)
scripts/soak.sh 1 "${seeds[@]}"
