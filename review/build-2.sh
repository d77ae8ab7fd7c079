#!/usr/bin/env bash
# Builds all stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig2 ./review/rig2
