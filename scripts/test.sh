#!/usr/bin/env bash
# Builds and runs every test. With --sanitize, under the address and
# undefined behaviour sanitizers, in build-sanitize.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=release
build=build
case "${1:-}" in
"") ;;
--sanitize)
    preset=sanitize
    build=build-sanitize
    ;;
*)
    echo "usage: $0 [--sanitize]" >&2
    exit 2
    ;;
esac
cmake --preset "$preset" > /dev/null
cmake --build --preset "$preset"
ctest --test-dir "$build" --output-on-failure
