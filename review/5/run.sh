#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/host.cjs ] && [ -f target/review-2/cut_relay.cjs ] || exit 2
exec node target/review-2/cut_relay.cjs
