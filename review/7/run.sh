#!/usr/bin/env bash
# Runs the case that claim.txt describes. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. With TROUBLE=0 it leaves the
# disruption out. What was sent, answered and run stands in record.txt in this
# folder. Build first: the line "build" of deploy/system.toml, then
# review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/$(basename "$here")
for needed in "$program" "$root/target/review-2/server" \
    "$root/target/amarantharch"; do
    if [ ! -x "$needed" ]; then
        echo "cannot run: ${needed#"$root"/} is not built" >&2
        exit 2
    fi
done
cd "$root" || exit 2
exec "$program" "$root" "$here/record.txt"
