#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the program of the deploy file: stand-ins in
# plain JavaScript, which need no compiler. Checks that Node.js reads them.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/6/case.mjs review/7/case.mjs review/8/case.mjs review/9/case.mjs review/10/case.mjs; do
	node --check "$file"
done
