#!/usr/bin/env bash
# Builds the program and the soak and plays it: one run a seed, each with all
# kinds of fault unless some are named. Options after -- go to the soak
# (amarantharch-soak --help). The logs of runs that broke a promise are kept
# under build/soak. Exit status 1 if one did.
set -euo pipefail
cd "$(dirname "$0")/.."
first=1 last=1
while [ $# -gt 0 ]; do
    case "$1" in
    --seeds) first=${2%%..*} last=${2##*..}; shift 2 ;;
    --) shift; break ;;
    *) echo "usage: $0 [--seeds A..B] [-- OPTION...]" >&2; exit 2 ;;
    esac
done
cmake --preset release > /dev/null
cmake --build --preset release --target amarantharch amarantharch-soak
# All kinds of fault, unless the options name some.
case " $* " in
*" --fault "*) ;;
*)
    for fault in $(./build/amarantharch-soak --help | sed -n 's/^faults://p'); do
        set -- "$@" --fault "$fault"
    done
    ;;
esac
status=0
for seed in $(seq "$first" "$last"); do
    logs=build/soak/seed-$seed
    rm -rf "$logs"
    if ./build/amarantharch-soak --program build/amarantharch --seed "$seed" \
        --logs "$logs" "$@"; then rm -rf "$logs"; else status=1; fi
done
exit $status
