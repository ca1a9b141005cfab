#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library alone (Python 3.11 or later), so there
# is nothing to compile: this checks that they can be read and that the program was built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - review/kit/*.py review/[1-5]/*.py <<'PYTHON'
import ast, sys, tomllib
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PYTHON
test -x target/release/jujubeusher-platform
echo "stand-ins: ready"
