#!/usr/bin/env bash
# Plays one case: run-case.sh FOLDER NAME. It exits as the case does: 1 the rule was broken, 0 it was kept, 2 it couldn't run.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
if [ ! -x "$root/review/bin/standin" ] || [ ! -x "$root/bin/woodrouter" ]; then
  echo "not built: the deploy file's build and review/build.sh come first"
  exit 2
fi
CASE_RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
CASE_TMP=$(mktemp -d) || exit 2
export CASE_RUN CASE_TMP CASE_ROOT=$root CASE_RECORD=$folder/record.txt
"$root/review/bin/standin" "$2" &
player=$!
trap 'kill "$player" 2>/dev/null' INT TERM
wait "$player"
code=$?
if kill -0 "$player" 2>/dev/null; then # a signal came: the player ends its processes first
  wait "$player"
  code=2
fi
if [ "${CASE_KEEP:-}" = 1 ]; then echo "logs: $CASE_TMP"; else rm -rf "$CASE_TMP"; fi
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
