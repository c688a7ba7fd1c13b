#!/usr/bin/env bash
# Builds the cases with their stand-ins (standard library only) into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.rs; do
  number=$(basename "$(dirname "$case")")
  rustc --edition 2024 -O -o "target/review/case-$number" "$case"
done
