#!/bin/sh
# Builds the stand-ins that the cases start. The build line of deploy/service.toml comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/standins
