#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r standins/wasabiwell_standins target/review-2/
cp review/harness2.py target/review-2/
python3 -m compileall -q target/review-2
