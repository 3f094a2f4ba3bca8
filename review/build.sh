#!/usr/bin/env bash
# Bundles the cases with their stand-ins. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[0-9]*/case.ts; do
  name="$(basename "$(dirname "$case")")"
  npm run --silent bundle -- "$case" "--outfile=dist/review/$name.cjs"
done
