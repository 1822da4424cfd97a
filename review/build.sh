#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network.
set -eu
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
