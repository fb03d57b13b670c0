#!/bin/sh
# Builds the stand-ins that the scripts of the review start: one program without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
