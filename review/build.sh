#!/usr/bin/env bash
# Checks that every stand-in of the scripts compiles; they are Python and need only what the deploy file's build puts
# under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins/*.py review/[1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c 'import aiohttp'
