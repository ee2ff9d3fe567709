#!/bin/sh
# Case 2. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the requests with
# the fatal part; TROUBLE=early: replicas crash within the first event.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
RECORD=review/2/record.txt timeout 110 target/review/fatal_part target/release/railtack-platform "$folder"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
