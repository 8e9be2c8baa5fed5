#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 to 10: they are Python sources in review/kit2, which need the libraries of the
# deploy file under target/deps and nothing else. Checks that both are there and that the sources compile.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 - <<'CHECK'
import pathlib

import aiohttp  # noqa: F401
import msgspec  # noqa: F401

for source in sorted(pathlib.Path('review/kit2').glob('*.py')):
    compile(source.read_text(), str(source), 'exec')
CHECK
