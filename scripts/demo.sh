#!/usr/bin/env bash
# Builds, starts a stand-in upstream and three VMs, sends a request to each,
# checks the answers and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release > /dev/null
cmake --build --preset release
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2> /dev/null || true; rm -rf "$work"' EXIT

# Prints the port that the process logging to file $1 listens on.
port_of() {
    for _ in $(seq 100); do
        sed -n 's/.*"event":"listening".*"port":"\([0-9]*\)".*/\1/p' "$1" |
            grep . && return
        sleep 0.1
    done
    echo "no port in $1" >&2
    return 1
}

./build/amarantharch-standin 2> "$work/standin.log" & pids+=($!)
upstream=$(port_of "$work/standin.log")
for domain in asan patan bhaktapur; do
    printf '[vm]\nid = entry-%s\nfailure_domain = %s\n\n[upstream desk-1]\naddress = 127.0.0.1:%s\nservice = desk\n\n[route listings]\nprefix = /listings\nservice = desk\nidempotent = yes\n' \
        "$domain" "$domain" "$upstream" > "$work/$domain.ini"
    ./build/amarantharch serve --settings "$work/$domain.ini" \
        2> "$work/$domain.log" & pids+=($!)
done
for domain in asan patan bhaktapur; do
    port=$(port_of "$work/$domain.log")
    answer=$(curl -sS --max-time 10 -X POST --data "hello from $domain" \
        "http://127.0.0.1:$port/listings")
    echo "$domain: $answer"
    grep -q "\"echo\":\"hello from $domain\"" <<< "$answer"
done
echo "demo: 3 VMs answered whole through one upstream"
