#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/review2/rig2 ] || [ ! -x target/bilberryrock-platform ]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
TROUBLE=${TROUBLE:-1} exec target/review2/rig2 deadlyStream "$here"
