#!/bin/sh
# Builds the server and the emulator, then runs the emulator: sh emulator/run.sh run|compare|sweep|replay|hunt|check SCRIPT ...
set -eu
cd "$(dirname "$0")/.."
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -DskipTests install
[ -n "${BUILT:-}" ] || mvn -q -B -ntp -DskipTests -f emulator/pom.xml package
exec java -Xmx4g -Djava.awt.headless=true -cp 'emulator/target/emulator.jar:emulator/target/lib/*' ochretiller.emulator.SimulateCommand "$@"
