#!/bin/sh
# Builds the stand-ins that the cases start, after the build of the deploy
# file.  Run from anywhere.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 BUILD=target target/standin target/libsupport.a
mkdir -p target/review
flags=$(pkg-config --cflags --libs glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 \
  jansson libtirpc)
for case in review/common/*.c; do
  name=$(basename "$case" .c)
  [ "$name" = bed ] && continue
  # shellcheck disable=SC2086
  cc -std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter -I. -o "target/review/$name" "$case" \
    review/common/bed.c target/libsupport.a target/libradishchute.a $flags -lm
done
