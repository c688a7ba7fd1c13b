#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/orchidyoke ] || { echo "cannot run: build the program first" >&2; exit 2; }
case=target/review/case-3
[ -x "$case" ] || bash review/build.sh >&2 || exit 2
exec "$case"
