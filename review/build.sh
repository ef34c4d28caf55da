#!/usr/bin/env bash
# Builds the gateway with the build line of the deploy file, and the stand-ins and clients of the
# review's scripts. Needs the packages of scripts/packages.txt and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
build_line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$build_line"
cmake -S review/standin -B build/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build/review
