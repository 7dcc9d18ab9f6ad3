"""Starts a role from a checkout, with the platform's settings file."""

import os
import pathlib
import signal
import sys

_SOURCES = pathlib.Path(__file__).resolve().parent.parent / 'src'


def main() -> int:
    """Run the role that the command line names."""
    # Until the role has installed its handlers these would end the process;
    # it receives them then.
    signal.pthread_sigmask(
        signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    )
    # The folder of this script must not stand for the package.
    sys.path[0] = str(_SOURCES)
    from persimmonsail import cli

    return cli.main([sys.argv[1], os.environ['PERSIMMONSAIL_BOOT']])


if __name__ == '__main__':
    sys.exit(main())
