#!/bin/sh
# Runs the case on loopback addresses; see claim.txt.  TROUBLE=0: without the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/case-15
[ -x "$program" ] && [ -x target/bin/bluebellstand ] || exit 2
WORK=$(mktemp -d) || exit 2
export WORK
RECORD=${RECORD:-review/15/record.txt}
export RECORD
"$program"
status=$?
rm -r "$WORK"
exit "$status"
