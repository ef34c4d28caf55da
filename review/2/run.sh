#!/usr/bin/env bash
# Plays the case; claim.txt tells what it shows. TROUBLE=0 leaves out the disruption.
# Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't be played.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$folder/../.." && pwd)
program="$repository/build/review/review-case"
if [ ! -x "$program" ]; then "$repository/review/build.sh" > /dev/null || exit 2; fi
"$program" broken-answers "${TROUBLE:-1}" "$repository" "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
