#!/usr/bin/env bash
# The main job: builds, starts stand-ins for the platform and the upstreams and
# three VMs in three failure domains, sends callers' requests through each VM,
# kills one VM, shuts the others down, and checks every answer. Ends by itself;
# exit status 0 if all was as it should be. Leaves no process behind.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release > /dev/null
cmake --build --preset release --target amarantharch amarantharch-standin
work=$(mktemp -d)
declare -A pids ports
stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

fail() {
    echo "demo: FAILED: $*" >&2
    exit 1
}

# Prints field $2 of the first line "listening" of log $1 that contains $3.
listening() {
    for _ in $(seq 200); do
        grep '"event":"listening"' "$work/$1.log" 2> /dev/null | grep "${3:-}" |
            sed -n "s/.*\"$2\":\"\([0-9]*\)\".*/\1/p" | grep -m 1 . && return
        sleep 0.05
    done
    fail "$1 does not listen: $(cat "$work/$1.log")"
}

start_vm() {
    {
        printf '[vm]\nid = entry-%s\nfailure_domain = %s\n' "$1" "$1"
        cat "$work/tables"
    } > "$work/$1.ini"
    ./build/amarantharch check "$work/$1.ini" || fail "settings of $1"
    ./build/amarantharch serve --settings "$work/$1.ini" 2> "$work/$1.log" &
    pids[$1]=$!
}

./build/amarantharch-standin --serve plain --serve engine \
    2> "$work/upstreams.log" &
pids[upstreams]=$!
desk=$(listening upstreams port '"plain"')
drafts=$(listening upstreams port '"engine"')
cat > "$work/tables" << END
[upstream desk-1]
address = 127.0.0.1:$desk
service = desk
[upstream engine-1]
address = 127.0.0.1:$drafts
service = drafts
kind = engine
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
for domain in asan patan bhaktapur; do start_vm $domain; done
for domain in asan patan bhaktapur; do
    ports[$domain]=$(listening $domain port)
done
echo "demo: 3 VMs in 3 failure domains, 2 upstreams"

ask() { curl -sSN --max-time 20 -X POST --data "$3" "http://127.0.0.1:$1$2"; }
draft='{"prompt":"a lunch plan for class 4b","max_tokens":50,"stream":true}'
# The events of a stream but the engine's report of its cache, which differs
# with the cache and is not passed on to callers.
events() { grep -v -e '"cached_tokens"' -e '^$'; }
tokens() { ask "$1" /v1/completions "$draft" | events; }

expected=$(tokens "$drafts")
[ "$(grep -c '"index"' <<< "$expected")" = 50 ] || fail "the engine's stream"
for domain in asan patan bhaktapur; do
    answer=$(ask "${ports[$domain]}" /listings "hello from $domain")
    grep -q "\"echo\":\"hello from $domain\"" <<< "$answer" ||
        fail "$domain answered $answer"
    [ "$(tokens "${ports[$domain]}")" = "$expected" ] ||
        fail "$domain did not pass the engine's stream on whole"
    echo "demo: $domain answered a lookup and passed on a draft of 50 tokens"
done

kill -KILL "${pids[asan]}"
wait "${pids[asan]}" 2> /dev/null || true
for domain in patan bhaktapur; do
    [ "$(tokens "${ports[$domain]}")" = "$expected" ] ||
        fail "$domain does not serve after asan was killed"
done
echo "demo: asan killed; patan and bhaktapur go on serving"

for domain in patan bhaktapur; do
    ask "${ports[$domain]}" /v1/completions "$draft" > "$work/$domain.answer" &
    reader=$!
    until grep -q '"index"' "$work/$domain.answer" 2> /dev/null ||
        ! kill -0 $reader 2> /dev/null; do sleep 0.01; done
    kill -TERM "${pids[$domain]}"
    kill -0 $reader || fail "the stream ended before $domain was told to stop"
    wait $reader || fail "$domain cut a stream while shutting down"
    [ "$(events < "$work/$domain.answer")" = "$expected" ] ||
        fail "$domain cut a stream while shutting down"
    wait "${pids[$domain]}" || fail "$domain exited with status $?"
done
echo "demo: patan and bhaktapur shut down without cutting a stream"
echo "demo: done"
