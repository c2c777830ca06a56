#!/bin/sh
# Builds the stand-ins of the cases of REPORT-2.md, into target/review-2.
# Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[6-9]/case.c review/10/case.c; do
	[ -e "$case" ] || continue
	number=$(basename "$(dirname "$case")")
	cc -std=gnu11 -O1 -g -Wall -Wextra -pthread -o "target/review-2/case-$number" \
	    review/world2.c "$case" -ljansson
done
