#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; needs rustc only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2.rs
