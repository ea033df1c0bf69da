#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/driver"
GOWORK=off go test -c -o ../../target/review-driver .
