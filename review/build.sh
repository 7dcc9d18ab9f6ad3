#!/bin/sh
# Builds the stand-ins that the scripts start: plain Python, no dependency.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 -m compileall -q "$here"
