#!/bin/sh
# Builds the stand-ins that the scripts of review/ start: plain JDK classes without dependencies.
set -e
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -Xlint:all -d target/classes standin/*.java
