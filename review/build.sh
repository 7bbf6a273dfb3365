#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that need only
# the standard library, so this checks the interpreter and their syntax.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
export PYTHONDONTWRITEBYTECODE=1
for it in standin/*.py [1-9]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
