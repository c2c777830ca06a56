#!/bin/sh
# Builds the cases of the third review into build-review-3/, after the build of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=build-review-3
cmake -S . -B $out -DCMAKE_BUILD_TYPE=Release -DAT_TESTS=OFF >/dev/null
cmake --build $out -j8 --target standin_objs >/dev/null
mkdir -p $out/bin
flags="-std=c11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-format-truncation
-I include -I src -I proto -I ."
for case in review/1[1-5]; do
	[ -f "$case/case.c" ] || continue
	# shellcheck disable=SC2086
	cc $flags -o "$out/bin/case-${case#review/}" "$case/case.c" \
	    review/world3.c $out/libstandin_objs.a $out/libalmond_platform.a \
	    $out/libalmond_io.a $out/libalmond_core.a $out/libalmond_proto.a \
	    -lev -lmicrohttpd -lcurl -ljansson -lsodium -lprotobuf-c \
	    -lxxhash -largtable2 -lz -lm
done
