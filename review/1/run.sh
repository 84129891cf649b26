#!/usr/bin/env bash
# A manifest takes the last tenant away: requests with its key, and with no key at all, are sent.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/clayplank-platform ] && [ -x target/review/last_key ] || exit 2
exec timeout 118 target/review/last_key review/1/record.txt
