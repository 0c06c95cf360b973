#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, under
# target/review. Needs g++ only; run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cc; do
    program=target/review/$(basename "$source" .cc)
    echo "review: $source -> $program"
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "$program"
done
