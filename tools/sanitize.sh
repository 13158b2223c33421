#!/usr/bin/env bash
# Builds the test binaries with address and undefined-behaviour sanitizers and
# runs those of the decisions and of whole instances. Stacks are not checked:
# Debian's Boost.Context has no sanitizer annotations for fibers.
set -eu
build=$1
jobs=$2
tests="base config policy capacity jobs net node pools disturbance"
targets=""
for name in $tests; do
    ls tests/"$name"/*.cpp >/dev/null 2>&1 && targets="$targets test_$name"
done
[ -z "$targets" ] && exit 0
cmake -S . -B "$build" -G Ninja -DPIMENTOGRADE_SANITIZE=address,undefined \
    -DPIMENTOGRADE_WERROR=ON \
    >/dev/null
# shellcheck disable=SC2086
cmake --build "$build" -j "$jobs" --target $targets
status=0
pids=""
for target in $targets; do
    RC_PARAMS="seed=20261204 max_success=50" "$build/$target" --minimal \
        >"$build/$target.log" 2>&1 &
    pids="$pids $!:$target"
done
for entry in $pids; do
    if ! wait "${entry%%:*}"; then
        echo "sanitize: ${entry#*:} failed"
        cat "$build/${entry#*:}.log"
        status=1
    fi
done
[ "$status" -eq 0 ] && echo "sanitize: ok"
exit "$status"
