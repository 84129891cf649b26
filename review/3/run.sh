#!/usr/bin/env bash
# All processes are killed right after a worker's departure was acknowledged; a status report comes late.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/clayplank-platform ] && [ -x target/review/late_report ] || exit 2
exec timeout 118 target/review/late_report review/3/record.txt
