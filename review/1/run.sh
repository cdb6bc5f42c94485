#!/usr/bin/env bash
# Needs the build of deploy/system.toml and review/build.sh. Exit code: 1 broken, 0 held, 2 could not run.
# TROUBLE=0 leaves the disruption out; without TROUBLE, or with another value, it takes place.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] && [ -x ../../target/entry ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
  export TROUBLE=0
else
  export TROUBLE=1
fi
exec ../bin/standin odd-entry .
