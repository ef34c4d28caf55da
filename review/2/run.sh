#!/usr/bin/env bash
# Plays the case; claim.txt tells what it shows. TROUBLE=0 leaves out the disruption. Needs what
# review/build.sh has built.
# Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't be played.
set -uo pipefail
ulimit -c 0
folder=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$folder/../.." && pwd)
program="$repository/build/review/review-case"
for built in "$program" "$repository/target/frostline-gateway"; do
  [ -x "$built" ] || { echo "run review/build.sh first" >&2; exit 2; }
done
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
"$program" broken-answers "${TROUBLE:-1}" "$repository" "$folder/record.txt" &
case_process=$!
# The program ends its child processes when it gets SIGTERM, and by itself after 110 seconds.
trap 'kill "$case_process" 2> /dev/null' TERM INT HUP
wait "$case_process"
code=$?
wait "$case_process" 2> /dev/null
rm -rf "$TMPDIR"
[ "$code" -le 2 ] || code=2
exit "$code"
