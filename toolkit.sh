#!/usr/bin/env bash
# Checks for developers; CI runs the same ones.
#   ./toolkit.sh fmt | clippy | test | check | fresh
set -euo pipefail
cd "$(dirname "$0")"

fmt() { cargo fmt --all -- --check; }
clippy() { cargo clippy --workspace --all-targets --locked -- -D warnings; }

# Runs all tests. Only tests that KNOWN-RED.txt lists may fail.
test() {
  local log status=0
  log=$(mktemp)
  cargo test --workspace --locked --no-fail-fast 2>&1 | tee "$log" || status=$?
  local failed
  failed=$(sed -n 's/^test \(.*\) \.\.\. FAILED$/\1/p' "$log" | sed 's/ (line [0-9]*)$//' | sort -u)
  local ended
  ended=$(grep -c -E '^error: (could not compile|process didn)' "$log" || true)
  rm -f "$log"
  [ "$status" -eq 0 ] && return 0
  local unknown=0 name
  while read -r name; do
    [ -n "$name" ] || continue
    if [ -f KNOWN-RED.txt ] && grep -q -F "test: $name" KNOWN-RED.txt; then
      echo "KNOWN RED: $name"
    else
      echo "FAILED: $name"
      unknown=1
    fi
  done <<<"$failed"
  # A failure that belongs to no test (a build error, a crash) always fails the run.
  if [ -z "$failed" ] || [ "$ended" -ne 0 ]; then unknown=1; fi
  return "$unknown"
}

check() {
  fmt
  clippy
  test
}

# Runs CI on a fresh clone, which fails if a needed file is not committed.
fresh() {
  local folder status=0
  folder=$(mktemp -d)
  git clone --quiet . "$folder/clone"
  CARGO_TARGET_DIR="${CARGO_TARGET_DIR:-$PWD/target/fresh}" bash "$folder/clone/.ci/run" || status=$?
  rm -rf "$folder"
  return "$status"
}

case "${1:-check}" in
  fmt | clippy | test | check | fresh) "${1:-check}" ;;
  *) echo "usage: ./toolkit.sh fmt | clippy | test | check | fresh" >&2; exit 2 ;;
esac
