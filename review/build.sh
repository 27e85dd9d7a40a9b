#!/usr/bin/env bash
# Builds the stand-ins of all cases under target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j4
