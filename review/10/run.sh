#!/usr/bin/env bash
# Plays case 10. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in bin/woodrouter bin/review-standin-2; do
  if [ ! -x "$program" ]; then
    echo "not run: $program is missing; build it by the deploy file and review/build-2.sh"
    exit 2
  fi
done
exec bin/review-standin-2 10 review/10/record.txt
