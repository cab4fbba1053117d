#!/bin/sh
# TROUBLE=0 runs the case without its disruption.
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/case.py"
