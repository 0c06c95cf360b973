#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review/short_requests
if [ ! -x "$program" ]; then
    echo "$program is missing: run review/build.sh first" >&2
    exit 2
fi
exec "$program" "$here/record.txt"
