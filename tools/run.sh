#!/bin/sh
# Builds the server and the tools, then runs one of them: sh tools/run.sh store|latency|flood|mix|cpu|pools|decode|live [--quick]
# Tables go to docs/figures as CSV, charts beside them as SVG. Not part of CI: figures need a machine that does nothing else.
set -eu
cd "$(dirname "$0")/.."
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -DskipTests install
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -DskipTests -f emulator/pom.xml install
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -f tools/pom.xml package
mkdir -p docs/figures
[ -n "${BUILT:-}" ] || sh deploy/archive.sh   # the package was made anew, and its class data with it
exec java -Xmx4g -Djava.awt.headless=true -cp 'tools/target/tools.jar:tools/target/lib/*' ochretiller.tools.ToolsCommand "$@"
