#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the cut and the crash.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review/standin && test -x target/release/heatherhollow || exit 2
folder=$(mktemp -d) || exit 2
target/review/standin paused-restart target/release/heatherhollow "$folder" review/2/record.txt
code=$?
rm -rf "$folder"
exit $code
