#!/bin/bash
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/review2 ./review/stand2
