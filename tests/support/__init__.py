"""Helpers that several step modules share."""

import importlib
import sys

# behave keeps Path objects in sys.path while it loads steps; importing hypothesis needs strings.
_paths = sys.path[:]
sys.path[:] = [str(path) for path in _paths]
importlib.import_module("hypothesis")
sys.path[:] = _paths
