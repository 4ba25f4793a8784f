#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the deploy file's build. Their stand-ins are Python
# without dependencies (review/support-2); this checks that the interpreter is there and that they compile.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'PY'
import ast, glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in glob.glob("support-2/*.py") + glob.glob("[0-9]*/case.py"):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PY
