#!/usr/bin/env bash
# Runs the fault tables and prints, for each, cases tried and violations.
# With --mutations, instead takes away one mechanism at a time in a scratch
# copy and fails unless the fault tables notice each.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --mutations ]; then
    exec ./scripts/prove_mutations.sh
fi
cmake --preset release > /dev/null
cmake --build --preset release --target core_tests > /dev/null
./build/core_tests --run_test=a_request_that_must_not_run_twice,a_ledger,a_stream_of_tokens,requests_that_crash_upstreams \
    --report_level=short
