#!/bin/sh
# Builds the stand-ins and cases of the second review, after the build of deploy/balancer.toml. Needs a JDK only.
set -eu
cd "$(dirname "$0")"
rm -rf target-2/classes
mkdir -p target-2/classes
javac --release 17 -Xlint:all -d target-2/classes src-2/review2/*.java
