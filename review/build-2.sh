#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2. Needs only packages that the
# project declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-2/*.cc -o target/review-2/cases \
  -lboost_json
