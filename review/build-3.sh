#!/bin/bash
# Builds what the scripts of review/11 to review/15 start besides the build of the deploy file. Their
# stand-ins are in Python's standard library (world3.py; fleet.py and saving.py of the earlier reviews for
# case 12), so only their syntax is checked.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, sys; [ast.parse(open(path).read(), path) for path in sys.argv[1:]]' \
    world3.py fleet.py saving.py 1[1-5]/*.py
