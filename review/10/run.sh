#!/usr/bin/env bash
# Plays the case. Exit status 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sardineknot ] && [ -x target/review-2/cases ] || exit 2
REVIEW_CASE=again REVIEW_RECORD=review/10/record.txt exec timeout -k 5 120 target/review-2/cases
