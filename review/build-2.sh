#!/usr/bin/env bash
# Builds the stand-ins of the second review into build/; run it in the project's root after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build
go build -o build/review-rig2 ./review/rig2
go build -o build/review-harness ./review/harness
