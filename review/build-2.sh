#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review: plain Python, so it only checks that
# they compile. The project itself is built by `build` of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for file in review/common2/*.py review/[4-8]/*.py; do
  python3 - "$file" <<'P'
import pathlib
import sys

compile(pathlib.Path(sys.argv[1]).read_text(), sys.argv[1], "exec")
P
done
