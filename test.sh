#!/bin/sh
# All tests: the form of the code, the server's units, the packaged program over sockets, a short rehearsal, and short drills of
# several servers. -Pcheck compiles with Error Prone. The tools are compiled only.
set -eu
cd "$(dirname "$0")"
mvn -B -ntp -f checks.xml verify
java checks/CheckExceptions.java
mvn -B -ntp -Pcheck install
mvn -B -ntp -Pcheck -f emulator/pom.xml install
mvn -B -ntp -Pcheck -f tools/pom.xml compile
mvn -B -ntp -Pcheck -f drill/pom.xml verify
