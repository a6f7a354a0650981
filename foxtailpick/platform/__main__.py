"""Entry point of the gateway process."""

import sys

from foxtailpick.platform import run

if __name__ == '__main__':
    sys.exit(run.main())
