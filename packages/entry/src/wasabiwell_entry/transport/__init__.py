"""Servers, clients and codecs on sockets."""
