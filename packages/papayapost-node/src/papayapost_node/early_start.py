"""Prepares the process for its slow imports.

Programs import this module before all others, because those take a few tenths
of a second. SIGHUP, whose default action ends the process, is ignored until
the node has its own handler. Garbage collections are rare until then, because
imports leave next to nothing to free.
"""

import gc
import signal

_ALLOCATIONS_BETWEEN_COLLECTIONS = 100_000

signal.signal(signal.SIGHUP, signal.SIG_IGN)
gc.set_threshold(_ALLOCATIONS_BETWEEN_COLLECTIONS)
