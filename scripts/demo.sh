#!/usr/bin/env bash
# Builds the programs and runs the demo on loopback. The demo checks its own answers and exits
# non-zero when one is wrong; it stops every process that it started, also on Ctrl-C. With --keep the
# fleet stays up until then, with a key and a curl line to try.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked --quiet
exec target/debug/wasabipoint-demo "$@"
