#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, into target/review-2. The project's programs are
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin-2 ./review/standin-2
