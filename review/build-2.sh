#!/bin/sh
# Builds what the scripts of cases 6 to 10 start: the nodes' libraries as the deploy file says, and
# the stand-ins, which are Python and only compiled. Needs no network once target/deps is there.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/deps ]; then
    build=$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')
    sh -c "$build" || exit 2
fi
PYTHONPATH=target/deps python3 -m compileall -q caroblead review/standins-2 || exit 2
PYTHONPATH=target/deps:review/standins-2 python3 -c 'import small' || exit 2
