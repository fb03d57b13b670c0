#!/bin/bash
# Builds the stand-ins and cases of the second review; they need the Rust compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standins-2/main.rs
