"""Helpers shared by several step modules."""

import importlib
import sys

# behave puts Path objects on sys.path while it loads steps; importing hypothesis fails with them.
_original_path = sys.path[:]
sys.path[:] = [str(path) for path in _original_path]
importlib.import_module("hypothesis")
sys.path[:] = _original_path
