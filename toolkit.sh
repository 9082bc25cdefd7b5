#!/usr/bin/env bash
# What developers run, and exactly what CI runs.
#   ./toolkit.sh fmt | clippy | test | check | fresh
set -euo pipefail
cd "$(dirname "$0")"

fmt() { cargo fmt --all -- --check; }
clippy() { cargo clippy --workspace --all-targets --locked -- -D warnings; }

# Runs every test. A test that KNOWN-RED.txt names may fail; any other may not.
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
  # A failure without a named test (a build error, a crash) is never passed over.
  if [ -z "$failed" ] || [ "$ended" -ne 0 ]; then unknown=1; fi
  return "$unknown"
}

check() {
  fmt
  clippy
  test
}

# Runs CI on a clone of what is committed: a file that git does not hold is missed there.
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
