#!/bin/sh
# A tenant becomes isolated after others have shared its KV cache. About 17 s.
cd "$(dirname "$0")" && exec python3 -B ../world-2/isolated.py record.txt
