#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review-2/case-$(basename "$folder")"
[ -x "$program" ] && [ -x "$root/target/release/orchidyoke" ] || { echo "not built"; exit 2; }
timeout -k 1 119 "$program" "$folder" "$root"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
