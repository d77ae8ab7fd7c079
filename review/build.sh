#!/usr/bin/env bash
# Builds what the scripts start beside the router: one program with the stand-ins of the store, the servers and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig ./review/rig
