"""Runs one process on the users' platform: `gateway` or `batch`."""

import gc
import importlib
import sys

from eelgrassgate import signals

if __name__ == "__main__":
    # A signal must not end the process, so its handlers precede the imports of
    # the program, which take most of its start.
    received = signals.receive()
    # Imports create many objects and hardly any garbage; the program enables
    # collection again once it runs.
    gc.disable()
    program = importlib.import_module("eelgrassgate.platform.process")
    exit_code = program.main(sys.argv[1:], received)
    signals.ignore()
    sys.exit(exit_code)
