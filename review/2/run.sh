#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh. Writes what was sent, answered and run to record.txt beside it.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
[ -x "$folder/../bin/standin" ] || exit 2
exec "$folder/../bin/standin" recover "$folder/../.." "$folder/record.txt"
