#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
program=../standins-2/target/release/case_7
[ -x "$program" ] && [ -x ../../target/release/herondock ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
temporary=$(mktemp -d) || exit 2
TMPDIR=$temporary "$program" . &
case=$!
stop() {
    kill -KILL "$case" $(cat "$temporary/pids")
    rm -rf "$temporary"
    exit 2
}
trap stop INT TERM
wait "$case"
status=$?
rm -rf "$temporary"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
