#!/bin/sh
# Builds the stand-ins and the drivers of all cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.c; do
	[ -e "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -Wall -Wextra -pthread -I review \
	    -o "target/review/case-$number" "$source" \
	    review/standin.c -ljansson
done
