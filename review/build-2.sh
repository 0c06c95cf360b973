#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the system itself, into
# target/review-2. Needs g++ only, which deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -o "$out/server" review/server-2.cc
for case in 6 7 8 9 10; do
    [ -e "review/$case/case.cc" ] || continue
    g++ "${flags[@]}" -o "$out/$case" "review/$case/case.cc"
done
echo "built: $out"
