#!/bin/sh
# Builds the stand-ins of the cases in this folder: one file, standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin.rs
