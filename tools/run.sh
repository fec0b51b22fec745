#!/bin/sh
# Builds the server, the emulator and the tools, then runs a bench: sh tools/run.sh store|latency|flood|mix|cpu|pools|decode|copies|live [--quick]
# Saves tables as CSV and charts as SVG in docs/figures. Not part of CI: the figures need an otherwise idle machine.
set -eu
cd "$(dirname "$0")/.."
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -DskipTests install
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -DskipTests -f emulator/pom.xml install
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -f tools/pom.xml package
mkdir -p docs/figures
[ -n "${BUILT:-}" ] || sh deploy/archive.sh   # archives the classes of the rebuilt package
exec java -Xmx4g -Djava.awt.headless=true -cp 'tools/target/tools.jar:tools/target/lib/*' ochretiller.tools.ToolsCommand "$@"
