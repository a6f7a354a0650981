"""Run `python -m foxtailpick`."""

import sys

from foxtailpick import cli

if __name__ == '__main__':
    sys.exit(cli.main())
