#!/bin/sh
# A commit that a replica has confirmed is lost by an order that is carried out late.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../world/run.sh" late "$here"
