#!/bin/sh
# A tenant becomes isolated after others have shared its KV cache. About 17 s.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 -B case.py record.txt
