#!/usr/bin/env bash
# Checks the stand-ins of the third review. They are in Python, which the
# project's scripts need anyway (scripts/install-packages), and aren't compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))'
PYTHONDONTWRITEBYTECODE=1 python3 - standin-3/*.py 1[1-5]/*.py <<'END'
import sys
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
END
