"""Entry point of the gateway process."""

import signal
import sys

# A reload may be asked for while the rest is still being imported, and the
# default action would end the process. The settings are read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from foxtailpick.platform import run  # noqa: E402

if __name__ == '__main__':
    sys.exit(run.main())
