#!/bin/sh
# Builds the stand-in that the scripts start: the project's own store. The other
# stand-ins are threads of the scripts, in Python 3 with its standard library.
set -e
cd "$(dirname "$0")/.."
make -j8 build/standin-platform
