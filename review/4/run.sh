#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/junipershelf ] || [ ! -x target/review-harness ]; then
	echo "build the program with the command of deploy/service.toml, and the stand-ins with review/build-2.sh" >&2
	exit 2
fi
exec target/review-harness -case fragments -record review/4/record.txt
