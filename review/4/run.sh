#!/usr/bin/env bash
# Plays the case of claim.txt: exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/merlinplatform ] || [ ! -x target/review/drill ]; then
  echo "no run: build target/merlinplatform as deploy/system.toml says, and run review/build-2.sh"
  exit 2
fi
exec target/review/drill -case replaced-core,other-zone -program target/merlinplatform -record review/4/record.txt
