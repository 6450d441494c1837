#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Build first: the deploy file, then review/build.sh.
cd "$(dirname "$0")/../.."
[ -f target/review/Main.class ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -cp target/review Main tenants review/5/record.txt
