"""Starts the daemon: `python -m cicadafront.daemon`."""

import signal
import sys

# Ignores SIGHUP, which requests a reload, while the libraries are imported: the
# default action would end the process. The settings are read afterwards, so
# that no reload is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from cicadafront.daemon import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main.main())
