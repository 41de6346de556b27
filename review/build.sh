#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/standins/*.java
