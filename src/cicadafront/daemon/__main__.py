"""Starts the daemon: `python -m cicadafront.daemon`."""

import gc
import signal
import sys

# Ignores SIGHUP, which requests a reload, while the libraries are imported: the
# default action would end the process. The settings are read afterwards, so
# that no reload is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Imports create many objects and hardly any garbage. Collections during them
# would take a twelfth of their processor time.
gc.disable()

from cicadafront.daemon import main  # noqa: E402

gc.enable()

if __name__ == "__main__":
    sys.exit(main.main())
