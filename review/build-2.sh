#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8: they need only
# Python's standard library, so this checks that they can be compiled.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 -m compileall -q "$here/smallsite"
