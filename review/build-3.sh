#!/usr/bin/env bash
# The stand-ins of the third review are Python modules that run on the libraries of the deploy file's build; this checks that
# they compile.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo 'target/deps is missing: run the build of deploy/system.toml first'; exit 1; }
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path('review').glob('kit3/*.py')) + sorted(pathlib.Path('review').glob('1[1-5]/*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PY
