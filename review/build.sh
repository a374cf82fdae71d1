#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs without further packages, so that nothing is
# compiled: this checks that they can be read by the interpreter that runs them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [1-5]/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
