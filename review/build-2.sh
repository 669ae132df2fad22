#!/bin/sh
# Builds the stand-ins of the cases from 4 on. Run it after the build of the deploy file.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$here/standin-2/target"
mkdir -p "$here/standin-2/target"
javac -d "$here/standin-2/target" "$here"/standin-2/*.java
