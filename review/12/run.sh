#!/usr/bin/env bash
# Case 12; the exit code is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
dir=$(cd "$(dirname "$0")" && pwd) && cd "$dir/../.." || exit 2
[ -x target/rig3 ] && [ -x target/amaranthramp-gateway ] || { echo "target/ lacks a program; see review/build-3.sh"; exit 2; }
exec target/rig3 evacuated "$dir"
