"""Transports, clients and threads around the core, which has no I/O."""
