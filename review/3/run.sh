#!/bin/sh
# Exit code: 0 if the rule was kept, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/standins/target/release/review-standins sized-streams review/3/record.txt
