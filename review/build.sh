#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --bin sablebay
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
