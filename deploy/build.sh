#!/bin/sh
# Puts the node with all that it imports under target/deps, as bytecode.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/deps.stamp
mkdir -p "$deps"
if [ ! "$stamp" -nt deploy/requirements.txt ] || [ ! "$stamp" -nt constraints.txt ]; then
    python3 -m pip install -q -U --target "$deps" -c constraints.txt -r deploy/requirements.txt
    touch "$stamp"
fi
for source in packages/papayapost/src packages/papayapost-node/src platform/src; do
    for package in "$source"/*/; do
        name=$(basename "$package")
        case "$name" in *.egg-info) continue ;; esac
        rm -rf "${deps:?}/$name"
        cp -R "$source/$name" "$deps/$name"
        find "$deps/$name" -name __pycache__ -prune -exec rm -rf {} +
    done
done
python3 -m compileall -q "$deps"
