"""An entry instance of wasabiwell."""
