#!/bin/bash
# ORDER: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cardamompoint ] && [ -x target/review2 ] || exit 2
exec timeout -k 5 100 target/review2 order review/6/record.txt
