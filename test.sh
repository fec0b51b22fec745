#!/bin/sh
# Runs all checks and tests: format and lint, unit tests, the packaged program over sockets, a short emulator run, and
# short drills with several servers. -Pcheck compiles with Error Prone. The tools are only compiled.
set -eu
cd "$(dirname "$0")"
mvn -B -ntp -f checks.xml verify
java checks/CheckExceptions.java
mvn -B -ntp -Pcheck install
mvn -B -ntp -Pcheck -f emulator/pom.xml install
mvn -B -ntp -Pcheck -f tools/pom.xml compile
mvn -B -ntp -Pcheck -f drill/pom.xml verify
