#!/usr/bin/env bash
# Prepares the stand-ins of cases 7 to 10. They are Python programs without dependencies; they are compiled once.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib
for file in sorted([*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path("../test/platform/soak").glob("*.py"), *[pathlib.Path(f"{n}/case.py") for n in range(6, 11) if pathlib.Path(f"{n}/case.py").exists()]]):
    ast.parse(file.read_text(), str(file))
print("stand-ins are ready")
PY
