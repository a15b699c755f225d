#!/bin/sh
# Replays the days in deploy/seeds.txt that belong to the given site file.
set -eu
fleetbench=$1
site=$2
name=$(basename "$site" .toml)
grep -v '^#' "$(dirname "$0")/seeds.txt" | while read -r site_name day seed; do
    [ "$site_name" = "$name" ] || continue
    "$fleetbench" run "$site" "$day" --seed "$seed" --why "seed that once failed"
done
