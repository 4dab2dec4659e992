#!/bin/sh
# Instances whose registration was carried out late; then a KV cache store restarts. About 27 s.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec timeout -s TERM 118 python3 -B case.py .
