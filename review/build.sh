#!/bin/sh
# Checks that the stand-ins of the scripts can start with the packages of the
# deploy file's build: nothing else is needed.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c '
import mimosaworks.cmdline.node
import standins.agency.world
'
