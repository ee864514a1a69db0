#!/bin/sh
# Installs the pinned libraries and copies the packages to target/deps.
set -eu
mkdir -p target
if [ ! -e target/installed ] || [ constraints.txt -nt target/installed ] ||
    [ deploy/requirements.txt -nt target/installed ]; then
    python3 -m pip install -q -U --target target/deps \
        -c constraints.txt -r deploy/requirements.txt
    touch target/installed
fi
rm -rf target/deps/toucandeal target/deps/toucandeald \
    target/deps/toucandeal_platform
for source in packages/toucandeal packages/toucandeald platform; do
    cp -R "$source"/src/toucandeal* target/deps/
done
python3 -m compileall -q target/deps/toucandeal target/deps/toucandeald \
    target/deps/toucandeal_platform
