#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into target/review-2, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standins-2/*.java
