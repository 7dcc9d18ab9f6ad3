"""Run the command line with ``python -m persimmonsail``."""

import sys

from persimmonsail import cli

if __name__ == '__main__':
    sys.exit(cli.main())
