#!/bin/sh
# Builds what the scripts of review/11 to review/15 need: the programs, by the build of
# the deploy file. Their stand-ins are Python files that need no further build.
set -eu
cd "$(dirname "$0")/.."
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
sh -c "$line"
