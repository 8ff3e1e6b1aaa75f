#!/bin/sh
# Compiles the stand-ins of the cases; they need the standard library only.
set -eu
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review/common
