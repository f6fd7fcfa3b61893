#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-harness ] && [ -x target/amaranthramp-gateway ] || exit 2
exec build/review-harness regained review/10/record.txt
