#!/bin/sh
# Builds the stand-ins that the cases start. They use the standard library only.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec cargo build --release --offline --locked --manifest-path "$folder/standins/Cargo.toml" \
    --target-dir "$folder/standins/target"
