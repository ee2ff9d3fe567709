#!/bin/sh
# Builds the stand-ins that the scripts of the review start, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/*.rs; do
    rustc --edition 2021 -O -o "target/review/$(basename "$source" .rs)" "$source"
done
