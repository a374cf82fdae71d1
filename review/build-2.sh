#!/usr/bin/env bash
# Prepares the stand-ins of the second review's cases. They are Python programs without further packages, so that
# nothing is compiled: this checks that the interpreter that runs them can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
  if [ -e "$file" ]; then
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
  fi
done
