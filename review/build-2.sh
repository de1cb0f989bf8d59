#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/sim review/sim-2/main.rs
