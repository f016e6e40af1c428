#!/usr/bin/env bash
# Runs formatter, linter, documentation build and all tests. Tests listed in KNOWN-RED.txt are
# printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TERM_COLOR=never

skip=()
if [ -s KNOWN-RED.txt ]; then
  while IFS='|' read -r name rest; do
    name="$(echo "$name" | xargs)"
    case "$name" in ''|'#'*) continue ;; esac
    echo "known red: $name |$rest"
    skip+=(--skip "$name")
  done < KNOWN-RED.txt
fi

cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
cargo test --workspace --locked --quiet -- "${skip[@]}"
