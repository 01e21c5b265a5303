"""The entry point of `python -m sorreldock`."""

import signal

from .program import early_signals

if __name__ == "__main__":
    early_signals.record(signal.SIGHUP)  # before the imports, which take most of the start time
    from .program.start import main

    main()
