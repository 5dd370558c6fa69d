#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/target/merlinplatform" ] || [ ! -x "$root/target/review/rig" ]; then
  bash "$root/review/build.sh" || exit 2
fi
exec "$root/target/review/rig" lost-disk "$root" "$here/record.txt"
