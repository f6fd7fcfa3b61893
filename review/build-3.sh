#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. The gateway comes from the build line of deploy/system.toml.
cd "$(dirname "$0")/.." && exec go build -o target/rig3 ./review/rig3
