#!/bin/sh
# Builds the server, the emulator and the drill, then runs the drill: sh drill/run.sh run|check SCRIPT ...
set -eu
cd "$(dirname "$0")/.."
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -DskipTests install
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -DskipTests -f emulator/pom.xml install
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -DskipTests -f drill/pom.xml package
exec java -Xmx2g -Djava.awt.headless=true -cp 'drill/target/drill.jar:drill/target/lib/*' ochretiller.drill.Drill "$@"
