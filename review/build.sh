#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program under review is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-stand ./review/stand
