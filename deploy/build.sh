#!/bin/sh
# Installs the package, and its dependencies if deploy/requirements.txt has changed.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.installed; then
    rm -rf "$deps"
    python3 -m pip install --quiet --upgrade --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.installed
fi
rm -rf "$deps/verbenawick"
cp -R src/verbenawick "$deps/verbenawick"
find "$deps/verbenawick" -name __pycache__ -type d -prune -exec rm -rf {} +
# Nodes cannot write bytecode next to the sources, so each start would recompile them.
python3 -m compileall -q "$deps/verbenawick"
