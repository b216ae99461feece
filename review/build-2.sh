#!/bin/sh
# Builds what the scripts of the second review start besides the deploy file's
# program: the project's stand-ins and the driver of each case.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/radishchute target/standin
mkdir -p target/review-2
flags=$(pkg-config --cflags --libs glib-2.0 jansson)
for source in review/[6-9]/case.c review/10/case.c
do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  ${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter \
    -Ireview/common-2 -o "target/review-2/case-$number" "$source" \
    review/common-2/rig.c $flags
done
