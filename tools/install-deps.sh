#!/bin/sh
# Installs the missing packages of the build; with the argument "ci" also those
# of the formatter and the linter.  Without root it lists the missing ones and
# fails.
packages="gcc make pkg-config libevent-dev libpq-dev libjansson-dev
libtirpc-dev libsodium-dev libxxhash-dev uthash-dev check libsubunit-dev"
[ "${1:-}" = ci ] && packages="$packages clang clang-format clang-tidy rpcsvc-proto
libclang-rt-14-dev"
missing=
for package in $packages; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing="$missing $package"
done
[ -z "$missing" ] && exit 0
if [ "$(id -u)" -ne 0 ]; then
  echo "missing packages:$missing" >&2
  exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq && apt-get install -y -qq --no-install-recommends $missing >/dev/null
