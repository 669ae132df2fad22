#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$here/../.." && pwd)
classes="$repository/review/standin-2/target"
if [ ! -f "$classes/MovedHolders.class" ] || [ ! -f "$repository/platform/target/bramblerack-platform.jar" ]; then
    echo "build with the command of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
exec java -Xmx512m -cp "$classes" MovedHolders "$repository" "$here/record.txt"
