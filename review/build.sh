#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-harness ./review/harness
