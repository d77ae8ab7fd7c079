#!/usr/bin/env bash
# Plays the case beside this file; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/rig2 ] && [ -x target/savoryfall ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec target/review-2/rig2 -case server-gone -program target/savoryfall -record "$here/record.txt"
