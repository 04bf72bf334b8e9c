#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-standin ./review/standin
