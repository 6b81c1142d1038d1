#!/usr/bin/env bash
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin-2 ] && [ -x target/cyclamenpoint ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-2/standin-2 -case report -trouble="$trouble" -record review/9/record.txt \
  -gateway target/cyclamenpoint -agent target/cyclamenpoint-agent
