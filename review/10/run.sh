#!/bin/sh
# Bad clients hold the table of connections when the repeat of an order comes that has run.
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -eu
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec java -cp review/target-2/classes review2.FullTable "$folder/record.txt"
