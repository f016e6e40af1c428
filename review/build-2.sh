#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Needs only the Rust toolchain, no network. The
# programs of the deploy file are built by its own `build` line.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O -o target/release/review-standin-2 review/standin-2/main.rs
