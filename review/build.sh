#!/usr/bin/env bash
# The stand-ins are plain JavaScript modules; this checks that Node.js reads them.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand_ins/*.mjs [1-5]/*.mjs; do
  [ -e "$module" ] || continue
  node --check "$module"
done
