#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The programs of the project are
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/ ./review/harness3
