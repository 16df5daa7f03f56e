#!/bin/sh
# Builds what the scripts start besides the programs of the deploy file: the stand-ins are plain
# modules of Node.js without dependencies, so that they are only checked here.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[0-9]*/*.mjs; do node --check "$file"; done
echo "the stand-ins of review/ are ready"
