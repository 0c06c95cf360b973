#!/usr/bin/env bash
# A bounded load on loopback: wrk against a stand-in directly and through three
# VMs, in one run. Prints requests per second, latency, and each VM's processor
# time and resident memory. Usage: load.sh [SECONDS [CONNECTIONS]]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-5}
connections=${2:-8}
[ "$seconds" -le 30 ] && [ "$connections" -le 256 ] ||
    { echo "at most 30 seconds and 256 connections" >&2; exit 2; }
cmake --preset release > /dev/null
cmake --build --preset release --target amarantharch amarantharch-standin
work=$(mktemp -d)
declare -A pids ports
stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

listening() {
    for _ in $(seq 200); do
        grep '"event":"listening"' "$work/$1.log" 2> /dev/null | grep "${2:-}" |
            sed -n 's/.*"port":"\([0-9]*\)".*/\1/p' | grep -m 1 . && return
        sleep 0.05
    done
    echo "$1 does not listen: $(cat "$work/$1.log")" >&2
    exit 1
}

# Processor time of a process in clock ticks of 10 ms.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }

./build/amarantharch-standin --serve plain --serve engine --step-us 1000 \
    2> "$work/upstreams.log" &
pids[upstreams]=$!
desk=$(listening upstreams '"plain"')
drafts=$(listening upstreams '"engine"')
for domain in asan patan bhaktapur; do
    cat > "$work/$domain.ini" << END
[vm]
id = entry-$domain
failure_domain = $domain
[upstream desk-1]
address = 127.0.0.1:$desk
service = desk
capacity = 1024
[upstream engine-1]
address = 127.0.0.1:$drafts
service = drafts
kind = engine
capacity = 1024
[route desk]
prefix = /
service = desk
idempotent = yes
[route drafts]
prefix = /v1/
service = drafts
kind = engine
idempotent = yes
END
    ./build/amarantharch serve --settings "$work/$domain.ini" \
        2> "$work/$domain.log" &
    pids[$domain]=$!
done

# wrk reports only what its script prints: count, errors and percentiles in us.
cat > "$work/post.lua" << 'END'
wrk.method = "POST"
wrk.body = os.getenv("LOAD_BODY")
done = function(summary, latency)
    local errors = summary.errors
    io.write(string.format("%d %d %d %d %d %.1f\n", summary.requests,
        errors.connect + errors.read + errors.write + errors.timeout +
        errors.status, latency:percentile(50), latency:percentile(95),
        latency:percentile(99), summary.requests * 1e6 / summary.duration))
end
END

measure() {
    wrk --threads 1 --connections "$3" --duration "${seconds}s" \
        --script "$work/post.lua" "http://127.0.0.1:$1$2" | tail -n 1
}

show() {
    printf '%-28s %8d requests %4d errors %9.1f/s  p50 %6d us  p95 %6d us  p99 %6d us\n' \
        "$1" "$2" "$3" "$7" "$4" "$5" "$6"
}

# Loads PATH with BODY directly, then through one VM, then through all three.
compare() {
    local name=$1 path=$2 upstream=$3 each=$4 direct before after row total=0
    export LOAD_BODY=$5
    read -ra direct < <(measure "$upstream" "$path" "$each")
    show "$name, direct" "${direct[@]}"
    before=$(ticks "${pids[asan]}")
    read -ra row < <(measure "${ports[asan]}" "$path" "$each")
    after=$(ticks "${pids[asan]}")
    show "$name, one VM" "${row[@]}"
    awk -v a="${row[2]}" -v b="${direct[2]}" -v t="$((after - before))" \
        -v n="${row[0]}" 'BEGIN {
        printf "  added at the median: %d us, ratio %.2f; processor time: %.1f us a request\n",
            a - b, a / b, t * 10000 / n }'
    before=0 after=0
    for domain in asan patan bhaktapur; do
        before=$((before + $(ticks "${pids[$domain]}")))
        measure "${ports[$domain]}" "$path" "$each" > "$work/$domain.row" &
        pids[load_$domain]=$!
    done
    for domain in asan patan bhaktapur; do wait "${pids[load_$domain]}"; done
    for domain in asan patan bhaktapur; do
        after=$((after + $(ticks "${pids[$domain]}")))
        read -ra row < "$work/$domain.row"
        show "$name, three VMs: $domain" "${row[@]}"
        total=$((total + row[0]))
    done
    awk -v n="$total" -v s="$seconds" -v t="$((after - before))" 'BEGIN {
        printf "  together %.1f/s; processor time %.1f us a request\n", n / s,
            t * 10000 / n }'
}

for domain in asan patan bhaktapur; do ports[$domain]=$(listening $domain); done
echo "load average $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) processors, $seconds s a row, $connections connections"
before=$(ticks "${pids[asan]}")
sleep "$seconds"
after=$(ticks "${pids[asan]}")
awk -v t="$((after - before))" -v s="$seconds" \
    'BEGIN { printf "idle VM: %.2f%% of a core\n", t / s }'
compare lookups /listings "$desk" "$connections" 'stall 7'
compare "streams of 50 tokens" /v1/completions "$drafts" 32 \
    '{"prompt":"lunch","max_tokens":50,"stream":true}'
for domain in asan patan bhaktapur; do
    echo "resident memory of $domain: $(resident_kb "${pids[$domain]}") kB"
done
