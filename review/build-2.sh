#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: build/review/world.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
# shellcheck disable=SC2046
${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o build/review/world \
  review/world/*.c $(pkg-config --cflags --libs libevent jansson)
