#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, else 2.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="../../target/deps:../standins-2"
export PYTHONPATH
python3 -c 'import small' || exit 2
exec python3 case.py
