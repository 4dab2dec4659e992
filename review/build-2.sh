#!/bin/sh
# The scripts of the cases 6 to 10 start only `target/release/acaciad`, which the deploy file builds, and
# stand-ins in Python (standard library), which need no build. This checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
for file in fleet.py world2.py takeup.py registration.py saving.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
