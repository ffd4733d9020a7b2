#!/bin/sh
# Usage: [TROUBLE=0] run.sh
exec sh "$(dirname "$0")/../run-case.sh" 5
