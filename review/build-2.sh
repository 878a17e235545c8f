#!/bin/sh
# Builds what the scripts of the second review start: the project's stand-ins run from
# the source tree with the packages of the deploy file, so only these are needed.
set -eu
cd "$(dirname "$0")/.."
[ target/deps -nt deploy/requirements.txt ] ||
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
PYTHONPATH=target/deps python3 -m compileall -q wagtailrill review/rig2 || true
