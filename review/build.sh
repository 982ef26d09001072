#!/usr/bin/env bash
# The stand-ins are plain JavaScript: nothing to compile. Checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [1-9]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
