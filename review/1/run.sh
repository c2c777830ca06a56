#!/bin/sh
# Servers fail with 503; exits with 1 if REFUSED was broken.
set -eu
cd "$(dirname "$0")/../.."
[ -x target/bin/almond-entry ] && [ -x target/review/case-1 ] || exit 2
exec target/review/case-1 review/1
