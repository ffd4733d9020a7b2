#!/bin/sh
# Builds the program of each case, with all stand-ins that it starts, as
# target/review/case-N.  The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
make BUILD=target CFLAGS=-O2 target/savoryway target/libsavoryway.a
mkdir -p target/review
packages="libevent libpq jansson libtirpc libsodium libxxhash"
for source in review/*/case.c; do
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2046
  ${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -Isrc \
    -I. $(pkg-config --cflags $packages) \
    -o "target/review/case-$number" "$source" review/driver/*.c \
    target/libsavoryway.a $(pkg-config --libs $packages) -lm
done
