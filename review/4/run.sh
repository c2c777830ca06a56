#!/bin/sh
# One part of a prompt crashes engines; exits with 1 if BUDGET was broken.
set -eu
cd "$(dirname "$0")/../.."
[ -x target/bin/almond-entry ] && [ -x target/review/case-4 ] || exit 2
exec target/review/case-4 review/4
