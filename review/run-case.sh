#!/bin/sh
# run-case.sh CASE FOLDER: runs a case of the rig and records it in the folder.
cd "$(dirname "$0")/.." || exit 2
[ -x target/review-rig ] && [ -x target/amaranthwheel ] || { echo "build first: make deploy && sh review/build.sh"; exit 2; }
exec target/review-rig "$1" "$2/record.txt"
