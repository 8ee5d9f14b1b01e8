#!/bin/sh
# Builds the stand-ins of the cases 4 to 7, without a network.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-harness ./review/harness
