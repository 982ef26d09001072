#!/bin/sh
# The stand-ins of cases 6 to 10 are plain modules of Node.js without packages:
# there is nothing to compile. This checks that all of them are whole.
cd "$(dirname "$0")" || exit 2
for file in stand_ins_2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs \
  10/case.mjs; do
  node --check "$file" || exit 1
done
