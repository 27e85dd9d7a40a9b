#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 4 to 8 into target/review-2. To be run after
# the build of deploy/service.toml, whose library they use.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j"$(nproc)"
