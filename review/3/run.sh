#!/bin/sh
# Runs this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the trouble out. record.txt gets what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/junipershelf ] || [ ! -x target/review-standins ]; then
	echo "run the build of deploy/service.toml and review/build.sh first" >&2
	exit 2
fi
exec target/review-standins cut-leader review/3/record.txt
