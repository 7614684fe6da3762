#!/usr/bin/env bash
# Checks the spin models exhaustively within their bounds, and checks that the verifier finds each mistake that is
# put into them on purpose. Prints the number of states of each complete run. Needs spin and gcc.
set -euo pipefail
cd "$(dirname "$0")/../../model"
models=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Search depth for the seeded mistakes. It suffices to find each of them and keeps the searches short.
mistake_depth=100

# build MODEL [SPIN-OPTION...]: generates and compiles the verifier in a new folder and prints its path.
build() {
  local folder
  folder=$(mktemp -d -p "$work")
  (cd "$folder" && spin -a "${@:2}" "$models/$1.pml" >&2 && gcc -w -O1 -DSAFETY -o pan pan.c)
  echo "$folder/pan"
}

# check MODEL [SPIN-OPTION...]: fails unless the model holds and the search was complete.
check() {
  local verifier output
  verifier=$(build "$@")
  output=$(cd "$(dirname "$verifier")" && timeout 600 ./pan -m1000000 2>&1)
  if ! grep -q 'errors: 0' <<<"$output" || grep -q 'max search depth too small' <<<"$output"; then
    echo "model: $* does not hold, or the search is incomplete:"
    echo "$output"
    exit 1
  fi
  echo "model: $* holds in all $(awk '/states, stored/ { print $1 }' <<<"$output") states"
}

# find_mistake MODEL MISTAKE: fails unless the seeded mistake violates an assertion.
find_mistake() {
  local verifier output
  verifier=$(build "$1" "-D$2")
  output=$(cd "$(dirname "$verifier")" && timeout 600 ./pan "-m$mistake_depth" 2>&1 || true)
  if ! grep -q 'assertion violated' <<<"$output"; then
    echo "model: the mistake $2 in $1 is not found"
    exit 1
  fi
  echo "model: $1 with $2: $(grep -o 'assertion violated.*' <<<"$output" | head -1)"
}

check claim
check log
check attempt
for mistake in CALL_BEFORE_DURABLE TRUST_LEASE RETRY_AFTER_FIRST_BYTE CALL_AFTER_GIVING_UP; do
  find_mistake claim "$mistake"
done
for mistake in SKIP_MANIFEST LOST_ANSWER_IS_FAILURE OVERWRITE; do
  find_mistake log "$mistake"
done
for mistake in RETRY_BROKEN_ONCE RETRY_FAILED_ONCE TIMEOUT_IS_NOT_RUN BROKEN_IS_NOT_RUN RESUME_FROM_START \
  RESUME_ANY_STREAM RETRY_FOR_NOBODY; do
  find_mistake attempt "$mistake"
done
