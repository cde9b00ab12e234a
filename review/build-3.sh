#!/usr/bin/env bash
# Builds the program of the scripts in review/11 to review/15; needs rustc only, no dependency.
# The node itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/standin
