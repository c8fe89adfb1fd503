#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/harness3
