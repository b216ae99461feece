#!/bin/sh
# Builds what the scripts of the third review start: the project's stand-ins
# and the driver.  The build of the deploy file comes before.
set -e
cd "$(dirname "$0")/.."
make -s -j"$(nproc)" build/standin
mkdir -p build/review-3
${CC:-gcc} -std=gnu11 -O1 -g -Wall -o build/review-3/driver \
  review/common-3/driver.c $(pkg-config --cflags --libs jansson) -lpthread
