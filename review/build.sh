#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are Python programs without dependencies; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in fleet.py [1-5]/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 9))'
