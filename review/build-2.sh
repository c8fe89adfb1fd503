#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start, apart from the node, which the
# deploy file builds.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-6 ./review/6
go build -o target/review-7 ./review/7
go build -o target/review-8 ./review/8
