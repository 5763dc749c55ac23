#!/usr/bin/env bash
# Prepares the stand-ins of the scripted cases. They are Python programs, so building them means compiling them once.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib ../test/platform/soak <<'PY'
import ast, pathlib, sys
for folder in sys.argv[1:]:
    for file in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(file.read_text(), str(file))
print("stand-ins are ready")
PY
