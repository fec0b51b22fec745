#!/bin/sh
# Builds the stand-ins and cases of the review, after the build of deploy/balancer.toml. Needs a JDK only.
set -eu
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac --release 17 -d target/classes src/review/*.java
