#!/bin/sh
# Plays the case; 1: the rule was broken, 0: it held, 2: not run.
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/.." exec python3 "$here/play.py"
