"""Ignores SIGHUP until the node has its own handler.

The default action of SIGHUP ends the process. Programs import this module
before all others, because the other imports take half a second or more.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
