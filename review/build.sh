#!/bin/sh
# Builds the stand-ins of the scripts into target/review. The system itself is
# built by deploy/build.sh, which has to run before.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp review/harness/*.py target/review/
python3 -m compileall -q target/review
