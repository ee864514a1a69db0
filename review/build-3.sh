#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They run on what
# `deploy/build.sh` has put below target/deps, which is built first.
set -eu
cd "$(dirname "$0")/.."
[ -e target/deps/toucandeal_platform/standins ] || sh deploy/build.sh
python3 -m compileall -q review/harness-3 target/deps/toucandeal_platform
