#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third independent review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/stand3 ./review/stand3
