#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python: only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
