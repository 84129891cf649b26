#!/usr/bin/env bash
# An edge is stopped while requests that it has read wait for a slot at a worker.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/clayplank-platform ] && [ -x target/review/queued_at_stop ] || exit 2
exec timeout 118 target/review/queued_at_stop review/2/record.txt
