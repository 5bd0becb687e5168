#!/bin/sh
# Builds the stand-ins of all cases.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --offline --manifest-path review/Cargo.toml
