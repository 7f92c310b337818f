"""Decisions of the daemon; no input or output, time as arguments."""
