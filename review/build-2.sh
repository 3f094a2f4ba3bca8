#!/bin/sh
# Builds the scripts of the cases with the stand-ins that they start, without a network.
set -e
cd "$(dirname "$0")/.."
for script in review/[4-8]/*.ts; do
  [ -e "$script" ] || continue
  name=$(basename "$script" .ts)
  npm run --silent bundle -- "$script" --outfile="target/review-2/$name.cjs"
done
