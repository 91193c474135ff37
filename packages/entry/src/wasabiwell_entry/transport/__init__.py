"""Sockets: servers and clients."""
