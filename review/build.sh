#!/bin/sh
# The stand-ins are Python and use the libraries that the build of the deploy file has put into target/deps:
# there is nothing to compile. This checks that all of it can be loaded.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review python3 -c 'import standins.site'
