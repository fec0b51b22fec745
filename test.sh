#!/bin/sh
# All tests: the server's units, the packaged program over sockets, a short rehearsal, and short drills of several servers.
set -eu
cd "$(dirname "$0")"
mvn -B -ntp install
mvn -B -ntp -f emulator/pom.xml install
mvn -B -ntp -f drill/pom.xml verify
