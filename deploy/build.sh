#!/usr/bin/env bash
# Installs the daemon and its libraries to target/deps.
#
# A build without changes touches no file, because processes of an earlier
# build may be starting from there.
set -euo pipefail
deps=target/deps
mkdir -p "$deps"
if ! [ target/installed -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --upgrade --no-deps --target "$deps" \
        --requirement deploy/requirements.txt
    # The machines cannot write byte code themselves.
    python3 -m compileall -q "$deps"
    touch target/installed
fi
if ! diff -rq --exclude=__pycache__ src/cicadafront "$deps/cicadafront" \
    >/dev/null 2>&1; then
    rm -rf target/new
    cp -R src/cicadafront target/new
    python3 -m compileall -q -s target/new -p "$deps/cicadafront" target/new
    rm -rf target/old
    if [ -d "$deps/cicadafront" ]; then
        mv "$deps/cicadafront" target/old
    fi
    mv target/new "$deps/cicadafront"
    rm -rf target/old
fi
