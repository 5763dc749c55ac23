#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python programs of the standard library, so nothing is
# compiled into the repository; this checks that the interpreter can load them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
PYTHONDONTWRITEBYTECODE=1 python3 - lib-3/*.py 1[1-5]/*.py <<'P'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
P
