#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases into target/review-3. Run it after the build of
# deploy/system.toml. The module has no dependencies and is in no workspace.
set -euo pipefail
cd "$(dirname "$0")/rig-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/standin .
