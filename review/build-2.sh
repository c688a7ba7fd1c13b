#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases with the Rust compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/{6,7,8,9,10}/case.rs; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  rustc --edition 2024 -O -o "target/review-2/case-$number" "$case"
done
