#!/usr/bin/env bash
# Fails unless every source file is formatted and clean under clang-tidy.
# With file names as arguments, checks only those.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d build ] || cmake --preset release > /dev/null
if [ $# -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
fi
clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
    xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2> /tmp/clang-tidy.$$ ||
    { cat /tmp/clang-tidy.$$ >&2; rm -f /tmp/clang-tidy.$$; exit 1; }
rm -f /tmp/clang-tidy.$$
echo "format and lint: ${#files[@]} files clean"
