#!/bin/sh
# Compiles the stand-ins that the scripts start; they need only Python.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
