#!/bin/sh
# Builds the stand-ins that the scripts of the review start. No module besides the standard
# library is needed.
set -e
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS= go build -o ../../target/review-rig .
