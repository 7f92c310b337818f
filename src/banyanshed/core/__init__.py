"""Decision logic of the daemon: no I/O, and the time is always a parameter."""
