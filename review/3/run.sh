#!/bin/sh
# Plays this case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stage ] && [ -x ../../target/petreltide ] || exit 2
exec ../bin/stage votes "$(pwd)/../../target/petreltide" record.txt
