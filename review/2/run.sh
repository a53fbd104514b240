#!/usr/bin/env bash
# Plays this case; TROUBLE=0 leaves the disruption out. record.txt has what was sent, answered and run.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" copies
