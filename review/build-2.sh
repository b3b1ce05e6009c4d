#!/usr/bin/env bash
# The stand-ins and cases are plain JavaScript modules; this checks that Node.js reads them.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand_ins_2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$module" ] || continue
  node --check "$module"
done
