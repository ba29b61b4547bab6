#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/, beside the programs that the
# build line of deploy/system.toml leaves there. Needs no network: the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/rig2 .
