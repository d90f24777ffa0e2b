#!/usr/bin/env bash
# The stand-ins are plain JavaScript for Node.js without dependencies, so nothing has to be compiled: checks that all files can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
