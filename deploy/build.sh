#!/usr/bin/env bash
# Installs the daemon and its libraries to target/deps.
set -euo pipefail
deps=target/deps
mkdir -p target
if ! [ target/installed -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --upgrade --no-deps --target "$deps" \
        --requirement deploy/requirements.txt
    touch target/installed
fi
rm -rf "$deps/cicadafront"
cp -R src/cicadafront "$deps/cicadafront"
# The machines cannot write byte code themselves.
python3 -m compileall -q "$deps"
